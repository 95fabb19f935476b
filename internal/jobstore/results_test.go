package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/job"
)

func TestItemIsFoundByItsCustomID(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := memory.New()
	s := New(p, p.Objects())
	var input strings.Builder
	for i := range 40 {
		fmt.Fprintf(&input, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"m"}}`+"\n\n", i)
	}
	file, err := s.CreateFile(ctx, "client", "in", "batch", strings.NewReader(input.String()), 1<<20)
	c.Assert(err, qt.IsNil)
	rules := job.Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	chunks, items, err := job.Split(strings.NewReader(input.String()), rules)
	c.Assert(err, qt.IsNil)
	record, err := s.Create(ctx, Spec{Client: "client", Endpoint: rules.Endpoint, CompletionWindow: time.Hour,
		InputFile: file.ID, IdempotencyKey: "k", Chunks: chunks, Items: items})
	c.Assert(err, qt.IsNil)
	id := record.Job.ID

	item, err := s.ItemResult(ctx, id, "c33")
	c.Assert(err, qt.IsNil)
	c.Assert([]any{item.Line, item.Chunk.Number, item.Index, item.Closed, item.Result == nil}, qt.DeepEquals, []any{34, 1, 1, false, true})
	_, err = s.ItemResult(ctx, id, "c40")
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)
	_, err = s.ItemResult(ctx, "batch_none", "c1")
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)

	closeChunk(c, s, record, 1)
	item, err = s.ItemResult(ctx, id, "c33")
	c.Assert(err, qt.IsNil)
	c.Assert(item.Closed, qt.IsTrue)
	c.Assert(item.Result.IsCompleted(), qt.IsTrue)
	c.Assert(string(item.Result.Response.Body), qt.Equals, `{"index":1}`)
	item, err = s.ItemResult(ctx, id, "c3")
	c.Assert(err, qt.IsNil)
	c.Assert(item.Result, qt.IsNil)
}

// closeChunk completes all items of a chunk and closes it.
func closeChunk(c *qt.C, s *Store, record *Record, number int) {
	ctx := context.Background()
	open, err := s.OpenWork(ctx, "", 10)
	c.Assert(err, qt.IsNil)
	for _, w := range open {
		if w.Chunk.Number != number {
			continue
		}
		w, err = s.Claim(ctx, w, "runner")
		c.Assert(err, qt.IsNil)
		lines, err := s.Lines(ctx, &record.Job, w.Chunk)
		c.Assert(err, qt.IsNil)
		run, err := job.NewRun(w.Chunk, lines, job.Policy{}, time.Now())
		c.Assert(err, qt.IsNil)
		for d, ok := run.Next(time.Now()); ok; d, ok = run.Next(time.Now()) {
			run.Answered(d.Index, 200, "r", fmt.Appendf(nil, `{"index":%d}`, d.Index), time.Now())
		}
		batch := run.Collect()
		operation := s.NewOperation()
		segment, err := s.PutSegment(ctx, w.Chunk, operation, batch.Results)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Close(ctx, w, run.WithBatch(batch, segment, operation), record), qt.IsNil)
	}
}
