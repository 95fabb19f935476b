package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const model = "m"

// fakeEntry grants every demanded slot up to its limit, and revokes all slots on request.
type fakeEntry struct {
	limit int

	mu       sync.Mutex
	nextSlot uint64
	inUse    map[uint64]bool
	demand   int
	streams  []*fakeStream
}

func (e *fakeEntry) Call(context.Context, netip.AddrPort, peer.Method, any, any) error {
	return errors.New("no calls")
}

func (e *fakeEntry) OpenStream(context.Context, netip.AddrPort, peer.Method) (peer.Stream, error) {
	s := &fakeStream{entry: e, toBatch: make(chan batchslots.ToBatch, 1024), closed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inUse = map[uint64]bool{}
	e.streams = append(e.streams, s)
	return s, nil
}

// grant fills free slots. The caller holds the lock.
func (e *fakeEntry) grant(s *fakeStream) {
	for len(e.inUse) < e.limit && len(e.inUse) < e.demand {
		e.nextSlot++
		e.inUse[e.nextSlot] = true
		s.toBatch <- batchslots.ToBatch{Granted: &batchslots.Granted{Slot: e.nextSlot, Model: model, Target: "t", Address: "127.0.0.1:1"}}
	}
}

func (e *fakeEntry) revokeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[len(e.streams)-1]
	for slot := range e.inUse {
		s.toBatch <- batchslots.ToBatch{Revoked: &batchslots.Revoked{Slot: slot}}
	}
}

type fakeStream struct {
	entry   *fakeEntry
	toBatch chan batchslots.ToBatch
	closed  chan struct{}
	once    sync.Once
}

func (s *fakeStream) Send(m any) error {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m := m.(batchslots.ToEntry); {
	case m.Demand != nil:
		e.demand = 0
		for _, w := range m.Demand.Wants {
			e.demand += w.Slots
		}
	case m.Released != nil:
		delete(e.inUse, m.Released.Slot)
	}
	e.grant(s)
	return nil
}

func (s *fakeStream) Receive(out any) error {
	select {
	case m := <-s.toBatch:
		*out.(*batchslots.ToBatch) = m
		return nil
	case <-s.closed:
		return errors.New("closed")
	}
}

func (s *fakeStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// fakeItems completes items after a delay and counts the dispatches of each item.
type fakeItems struct {
	delay time.Duration

	mu             sync.Mutex
	dispatches     map[string]int
	lastDispatchAt time.Time
}

func (f *fakeItems) RunItem(ctx context.Context, call ItemCall) ItemOutcome {
	f.mu.Lock()
	f.dispatches[call.RequestID]++
	f.lastDispatchAt = time.Now()
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ItemOutcome{
			Err:     &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeCancelled},
			Partial: job.Partial{Text: call.Partial.Text + "x", Tokens: call.Partial.Tokens + 1},
		}
	case <-time.After(f.delay):
		return ItemOutcome{Status: 200, Body: []byte(`{"ok":true}`)}
	}
}

func createJob(t testing.TB, store *jobstore.Store, items int, line func(i int) string) *jobstore.Record {
	c := qt.New(t)
	var input strings.Builder
	for i := range items {
		input.WriteString(line(i))
		input.WriteString("\n")
	}
	ctx := context.Background()
	file, err := store.CreateFile(ctx, "client", "in.jsonl", "batch", strings.NewReader(input.String()), 1<<30)
	c.Assert(err, qt.IsNil)
	rules := job.Rules{Endpoint: "/v1/chat/completions", HasModel: func(m string) bool { return m == model }}
	chunks, n, err := job.Split(strings.NewReader(input.String()), rules)
	c.Assert(err, qt.IsNil)
	record, err := store.Create(ctx, jobstore.Spec{
		Client: "client", Endpoint: rules.Endpoint, CompletionWindow: 24 * time.Hour,
		InputFile: file.ID, IdempotencyKey: file.ID, RequestDigest: file.SHA256, Chunks: chunks, Items: n,
	})
	c.Assert(err, qt.IsNil)
	return record
}

func plainLine(i int) string {
	return fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`, i)
}

func nonIdempotentLine(i int) string {
	return fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","idempotent":false,"body":{"model":"m","messages":[]}}`, i)
}

func newTestRunner(store *jobstore.Store, entry *fakeEntry, items ItemRunner) *Runner {
	return New(Config{
		VM: "vm-1", Caller: entry, Store: store, Items: items, Log: zerolog.Nop(),
	})
}

func startRunner(r *Runner) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func getRecord(t testing.TB, store *jobstore.Store, id string) *jobstore.Record {
	record, err := store.GetAny(context.Background(), id)
	qt.Assert(t, err, qt.IsNil)
	return record
}

func waitFor(t testing.TB, timeout time.Duration, event string, condition func() bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", timeout, event)
}

func resultIDs(t testing.TB, store *jobstore.Store, id string, output jobstore.Output) map[string]int {
	var text strings.Builder
	qt.Assert(t, store.WriteResults(context.Background(), &text, id, output), qt.IsNil)
	ids := map[string]int{}
	for line := range strings.Lines(text.String()) {
		_, rest, _ := strings.Cut(line, `"custom_id":"`)
		customID, _, _ := strings.Cut(rest, `"`)
		ids[customID]++
	}
	return ids
}

func TestTwoRunnersCompleteAJobWithOneResultPerItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		record := createJob(t, store, 2000, plainLine)
		items := &fakeItems{delay: 300 * time.Millisecond, dispatches: map[string]int{}}
		stopA := startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))
		stopB := startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))
		defer stopA()
		defer stopB()
		waitFor(t, 2*time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
		ids := resultIDs(t, store, record.Job.ID, jobstore.Responses)
		qt.Assert(t, len(ids), qt.Equals, 2000)
		for id, n := range ids {
			qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%s", id))
		}
		done := getRecord(t, store, record.Job.ID).Progress
		qt.Assert(t, done.Completed, qt.Equals, 2000)
	})
}

// brokenTable loses the connection to the table after some commits.
type brokenTable struct {
	platform.Table
	commits int
}

func (b *brokenTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if b.commits--; b.commits < 0 {
		return 0, errors.New("the process is gone")
	}
	return b.Table.Commit(ctx, txn)
}

func TestChunksOfAJobThatWasNeverCreatedAreNeitherRunNorKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		spec := jobstore.Spec{Client: "client", IdempotencyKey: "k"}
		for number := range 100 {
			spec.Chunks = append(spec.Chunks, &job.Chunk{Number: number, Items: 1, Model: model})
		}
		_, err := jobstore.New(&brokenTable{Table: p, commits: 1}, p.Objects()).Create(t.Context(), spec)
		qt.Assert(t, err, qt.IsNotNil)
		record := createJob(t, store, 200, plainLine)
		items := &fakeItems{delay: 300 * time.Millisecond, dispatches: map[string]int{}}
		stop := startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))
		waitFor(t, 10*time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
		stop()
		qt.Assert(t, items.dispatches, qt.HasLen, 200)
		time.Sleep(time.Hour)
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))()
		waitFor(t, 10*time.Minute, "chunks removed", func() bool {
			work, err := store.OpenWork(t.Context(), "", 1000)
			return err == nil && len(work) == 0
		})
	})
}

func TestPreemptedItemContinuesUnlessItIsNonIdempotent(t *testing.T) {
	for _, test := range []struct {
		name       string
		line       func(int) string
		dispatches int
		output     jobstore.Output
	}{
		{"idempotent", plainLine, 2, jobstore.Responses},
		{"non-idempotent", nonIdempotentLine, 1, jobstore.Errors},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := memory.New()
				store := jobstore.New(p, p.Objects())
				record := createJob(t, store, 10, test.line)
				items := &fakeItems{delay: 5 * time.Second, dispatches: map[string]int{}}
				entry := &fakeEntry{limit: 20}
				defer startRunner(newTestRunner(store, entry, items))()
				waitFor(t, time.Minute, "all items sent", func() bool { return items.totalDispatches() == 10 })
				entry.revokeAll()
				waitFor(t, time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
				qt.Assert(t, resultIDs(t, store, record.Job.ID, test.output), qt.HasLen, 10)
				for id, n := range items.dispatches {
					qt.Assert(t, n, qt.Equals, test.dispatches, qt.Commentf("%s", id))
				}
			})
		})
	}
}

func (f *fakeItems) totalDispatches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, count := range f.dispatches {
		n += count
	}
	return n
}

func (f *fakeItems) lastDispatch() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastDispatchAt
}

// maxDispatchAfterCancel is the time after a cancellation from which no runner may dispatch an item of the job.
const maxDispatchAfterCancel = 3 * time.Second

func TestCancelledJobStopsDispatchingInTimeAndKeepsItsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		record := createJob(t, store, 5000, plainLine)
		items := &fakeItems{delay: time.Second, dispatches: map[string]int{}}
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))()
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))()
		waitFor(t, time.Minute, "results committed", func() bool { return getRecord(t, store, record.Job.ID).Progress.Completed > 100 })
		cancelled := time.Now()
		_, err := store.Cancel(context.Background(), record.Job.ID)
		qt.Assert(t, err, qt.IsNil)
		waitFor(t, time.Minute, "job cancelled", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCancelled })
		qt.Assert(t, items.lastDispatch().Sub(cancelled) < maxDispatchAfterCancel, qt.IsTrue)
		responses := resultIDs(t, store, record.Job.ID, jobstore.Responses)
		qt.Assert(t, responses, qt.HasLen, getRecord(t, store, record.Job.ID).Progress.Completed)
		work, err := store.OpenWork(context.Background(), "", 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, work, qt.HasLen, 0)
	})
}

func TestStoppingRunnerFinishesItsItemsAndReleasesItsChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		record := createJob(t, store, 200, plainLine)
		items := &fakeItems{delay: 2 * time.Second, dispatches: map[string]int{}}
		stop := startRunner(newTestRunner(store, &fakeEntry{limit: 10}, items))
		waitFor(t, time.Minute, "items sent", func() bool { return items.totalDispatches() >= 20 })
		stop()
		work, err := store.OpenWork(context.Background(), "", 100)
		qt.Assert(t, err, qt.IsNil)
		// A chunk may have been closed before the stop.
		done := getRecord(t, store, record.Job.ID).Progress.Completed
		for _, w := range work {
			qt.Assert(t, w.Chunk.Holder, qt.Equals, "")
			done += w.Chunk.Done.Count()
		}
		qt.Assert(t, done, qt.Equals, items.totalDispatches())
		dispatchedBefore := items.totalDispatches()
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 10}, items))()
		waitFor(t, time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
		qt.Assert(t, items.totalDispatches(), qt.Equals, 200, qt.Commentf("dispatched before the stop: %d", dispatchedBefore))
	})
}

func TestRunnersContinueDuringATableOutageAndCommitAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		table := faulty.New(p)
		store := jobstore.New(table, p.Objects())
		record := createJob(t, store, 400, plainLine)
		items := &fakeItems{delay: time.Second, dispatches: map[string]int{}}
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 4}, items))()
		waitFor(t, time.Minute, "items sent", func() bool { return items.totalDispatches() >= 8 })
		table.SetDown(true)
		before := items.totalDispatches()
		time.Sleep(10 * time.Second)
		qt.Assert(t, items.totalDispatches() > before, qt.IsTrue)
		table.SetDown(false)
		waitFor(t, 10*time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
		qt.Assert(t, items.totalDispatches(), qt.Equals, 400)
		qt.Assert(t, resultIDs(t, store, record.Job.ID, jobstore.Responses), qt.HasLen, 400)
	})
}

func TestChunksOfAPartitionedRunnerAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		record := createJob(t, store, 200, plainLine)
		items := &fakeItems{delay: time.Second, dispatches: map[string]int{}}
		table := faulty.New(p)
		partitioned := newTestRunner(jobstore.New(table, p.Objects()), &fakeEntry{limit: 4}, items)
		stop := startRunner(partitioned)
		waitFor(t, time.Minute, "items sent", func() bool { return items.totalDispatches() >= 40 })
		// To other runners a permanently partitioned VM looks the same as a lost one.
		table.SetDown(true)
		defer stop()
		defer startRunner(newTestRunner(store, &fakeEntry{limit: 20}, items))()
		waitFor(t, time.Minute, "job completed", func() bool { return getRecord(t, store, record.Job.ID).Status() == job.StatusCompleted })
		qt.Assert(t, resultIDs(t, store, record.Job.ID, jobstore.Responses), qt.HasLen, 200)
		qt.Assert(t, getRecord(t, store, record.Job.ID).Progress.Completed, qt.Equals, 200)
	})
}

func grantOf(model string) batchslots.Granted { return batchslots.Granted{Slot: 1, Model: model} }
