package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/runner"
)

// batchTimeout bounds the wait for a job, which normally takes a few seconds.
const batchTimeout = time.Minute

// batchItems is the number of items of the job. They fill more than one chunk.
const batchItems = 400

// startRunners starts a batch runner on the VM of each entry.
func (f *fleet) startRunners() {
	ctx, cancel := context.WithCancel(context.Background())
	var runners sync.WaitGroup
	f.tb.Cleanup(func() {
		cancel()
		runners.Wait()
	})
	for _, e := range f.entries {
		name := e.config.Settings.VM.Name
		node, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", TLS: certificates(f.keys, name), Log: zerolog.Nop()})
		qt.Assert(f.tb, err, qt.IsNil)
		r := runner.New(runner.Config{
			VM:     name,
			Entry:  e.Peers(),
			Caller: node,
			Store:  jobstore.New(f.platform.Table(), f.platform.Objects()),
			Items:  runner.NewEngineRunner(engine.New(engine.Config{})),
			Log:    zerolog.Nop(),
		})
		r.Register(node)
		qt.Assert(f.tb, node.Start(), qt.IsNil)
		runners.Go(func() {
			_ = r.Run(ctx)
			_ = node.Close(context.Background())
		})
	}
}

func batchInput() string {
	var lines strings.Builder
	for i := range batchItems {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"summary %d"}]}}`+"\n", i, i)
	}
	return lines.String()
}

// awaitBatch polls a job until it has completed, and calls meanwhile before each poll.
func (ef *engineFleet) awaitBatch(c *qt.C, batch *openai.Batch, meanwhile func()) *openai.Batch {
	deadline := time.Now().Add(batchTimeout)
	for batch.Status != openai.BatchStatusCompleted {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("status %s, counts %+v", batch.Status, batch.RequestCounts))
		meanwhile()
		var err error
		batch, err = ef.client.Batches.Get(context.Background(), batch.ID)
		c.Assert(err, qt.IsNil)
	}
	return batch
}

// countResults downloads a result file and counts its lines by custom_id.
func (ef *engineFleet) countResults(c *qt.C, file string) map[string]int {
	content, err := ef.client.Files.Content(context.Background(), file)
	c.Assert(err, qt.IsNil)
	defer content.Body.Close()
	return countCustomIDs(c, content.Body)
}

// countCustomIDs counts the lines of a result file by custom_id.
func countCustomIDs(c *qt.C, content io.Reader) map[string]int {
	counts := map[string]int{}
	decoder := json.NewDecoder(content)
	for {
		var line struct {
			CustomID string `json:"custom_id"`
		}
		err := decoder.Decode(&line)
		if err == io.EOF {
			return counts
		}
		c.Assert(err, qt.IsNil)
		counts[line.CustomID]++
	}
}

func TestOpenAIClientRunsBatchAlongsideOnlineRequests(t *testing.T) {
	runBatch(t, 3)
}

func TestBatchCompletesWhenOneVMOwnsNoTarget(t *testing.T) {
	runBatch(t, 2)
}

// runBatch runs a job on three VMs with the given number of engines, each owned by one VM.
func runBatch(t *testing.T, engines int) {
	c := qt.New(t)
	ef := newEngineFleet(t, engines)
	ef.startRunners()
	file, err := ef.upload(batchInput())
	c.Assert(err, qt.IsNil)
	batch, err := ef.submit(file.ID)
	c.Assert(err, qt.IsNil)
	batch = ef.awaitBatch(c, batch, func() {
		_, err := ef.client.Chat.Completions.New(context.Background(), chatParams("where is the tractor"))
		c.Assert(err, qt.IsNil)
	})
	c.Assert(batch.RequestCounts.Completed, qt.Equals, int64(batchItems))
	counts := ef.countResults(c, batch.OutputFileID)
	c.Assert(counts, qt.HasLen, batchItems)
	for id, count := range counts {
		c.Assert(count, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

func TestPoisonBatchItemFailsWithoutAffectingOthers(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 6)
	ef.startRunners()
	input := batchInput()
	input += strings.Replace(strings.Replace(input[:strings.Index(input, "\n")+1], "item-0", "bad", 1), "summary 0", poison, 1)
	file, err := ef.upload(input)
	c.Assert(err, qt.IsNil)
	batch, err := ef.submit(file.ID)
	c.Assert(err, qt.IsNil)
	batch = ef.awaitBatch(c, batch, func() {
		_, err := ef.client.Chat.Completions.New(context.Background(), chatParams("where is the tractor"))
		c.Assert(err, qt.IsNil)
	})
	crashes := 0
	for _, e := range ef.engines {
		crashes += e.Crashes()
	}
	c.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	c.Assert(batch.RequestCounts.Completed, qt.Equals, int64(batchItems))
	c.Assert(batch.RequestCounts.Failed, qt.Equals, int64(1))
	c.Assert(ef.countResults(c, batch.ErrorFileID), qt.DeepEquals, map[string]int{"bad": 1})
	c.Assert(ef.countResults(c, batch.OutputFileID), qt.HasLen, batchItems)
}
