package job

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

func newTestRun(t *testing.T, items int, idempotent bool) (*Run, time.Time) {
	var input strings.Builder
	for i := range items {
		fmt.Fprintf(&input, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","idempotent":%t,"body":{"model":"m"}}`+"\n", i, idempotent)
	}
	rules := Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	chunks, n, err := Split(strings.NewReader(input.String()), rules)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, items)
	lines, err := ReadLines(strings.NewReader(input.String()))
	qt.Assert(t, err, qt.IsNil)
	now := time.Unix(1e9, 0)
	run, err := NewRun(chunks[0].Claimed("r", "1"), lines[:chunks[0].Items], Policy{}, now)
	qt.Assert(t, err, qt.IsNil)
	return run, now
}

// failUntilResolved dispatches the only item and fails it each time until it has a result. It returns the
// number of tries.
func failUntilResolved(run *Run, now time.Time, err *verdict.Error) (tries int, result *Result) {
	for range 1000 {
		d, ok := run.Next(now)
		if !ok {
			break
		}
		tries++
		run.Failed(d.Index, err, now)
		now = now.Add(time.Hour)
	}
	if b := run.Collect(); len(b.Results) == 1 {
		result = b.Results[0]
	}
	return tries, result
}

func TestFailingItemEndsWithLastError(t *testing.T) {
	cut := &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "cut"}
	refused := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "refused"}
	quarantined := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeQuarantined, Message: "crashes targets"}
	for _, test := range []struct {
		name       string
		err        *verdict.Error
		idempotent bool
		tries      int
	}{
		{"cut each time", cut, true, 4},
		{"refused each time", refused, true, 100},
		{"quarantined", quarantined, true, 1},
		{"cut and not idempotent", cut, false, 1},
		{"refused and not idempotent", refused, false, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			run, now := newTestRun(t, 1, test.idempotent)
			if indexes := run.Intents(); len(indexes) > 0 {
				run.Committed(run.WithIntents(indexes, "2"), now)
			}
			tries, result := failUntilResolved(run, now, test.err)
			qt.Assert(t, tries, qt.Equals, test.tries)
			qt.Assert(t, result.Error.Code, qt.Equals, test.err.Code)
			qt.Assert(t, result.Error.Verdict, qt.Equals, test.err.Verdict.String())
		})
	}
}

func TestNonIdempotentItemWaitsForRecordedIntent(t *testing.T) {
	run, now := newTestRun(t, 3, false)
	_, ok := run.Next(now)
	qt.Assert(t, ok, qt.IsFalse)
	run.Committed(run.WithIntents(run.Intents(), "2"), now)
	d, ok := run.Next(now)
	qt.Assert(t, ok, qt.IsTrue)
	// The next holder finds three intents: one item was sent, and nobody can tell which.
	next, err := NewRun(run.Chunk().Claimed("s", "3"), run.lines, Policy{}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.Collect().Results, qt.HasLen, 3)
	// Releasing the chunk removes the intents of items that were not sent.
	run.Answered(d.Index, 200, "id", []byte("{}"), now)
	b := run.Collect()
	run.Committed(run.WithResults(b, Segment{Object: "o", Completed: 1}, "4"), now)
	qt.Assert(t, run.Released("5").Intents.Count(), qt.Equals, 0)
}

func TestSuspectIsSentOnlyOnRequest(t *testing.T) {
	run, now := newTestRun(t, 2, true)
	d, _ := run.Next(now)
	run.MarkSuspect(d.Index)
	run.Failed(d.Index, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed}, now)
	now = now.Add(time.Minute)
	other, ok := run.Next(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, other.Index, qt.Not(qt.Equals), d.Index)
	_, ok = run.Next(now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, run.TakeSuspect(d.Index, now), qt.IsTrue)
	qt.Assert(t, run.TakeSuspect(d.Index, now), qt.IsFalse)
}

// A crash of its last target may become known only after the item was stopped there. If it ran again before, it could
// crash the next target beside a suspect of the first crash.
func TestPreemptedItemContinuesAfterADelay(t *testing.T) {
	run, now := newTestRun(t, 1, true)
	d, _ := run.Next(now)
	run.Preempted(d.Index, Partial{Text: "part", Tokens: 1}, now)
	_, ok := run.Next(now.Add(900 * time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	d, ok = run.Next(now.Add(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, d.Partial.Text, qt.Equals, "part")
}

func TestChunksCoverInputOnce(t *testing.T) {
	for _, items := range []int{1, 32, 33, 2000, 20_000} {
		var input strings.Builder
		for i := range items {
			model := "m"
			if i%700 > 600 {
				model = "n"
			}
			fmt.Fprintf(&input, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":%q}}`+"\r\n\n", i, model)
		}
		rules := Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
		chunks, n, err := Split(strings.NewReader(input.String()), rules)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, items)
		next := 0
		for _, c := range chunks {
			qt.Assert(t, c.Items <= maxChunkItems, qt.IsTrue)
			lines, err := ReadLines(strings.NewReader(input.String()[c.Offset : c.Offset+c.Length]))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, lines, qt.HasLen, c.Items)
			for _, line := range lines {
				qt.Assert(t, line.CustomID, qt.Equals, fmt.Sprintf("c%d", next))
				next++
			}
		}
		qt.Assert(t, next, qt.Equals, items)
	}
}
