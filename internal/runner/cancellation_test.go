package runner

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// forwardingEntry is a fakeEntry that also forwards calls to another runner.
type forwardingEntry struct {
	*fakeEntry
	other  *Runner
	isDown atomic.Bool
}

func (e *forwardingEntry) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, response any) error {
	if e.isDown.Load() || e.other == nil || method != methodJobs {
		return errors.New("unreachable")
	}
	decode := func(out any) error {
		*out.(*jobsRequest) = request.(jobsRequest)
		return nil
	}
	reply, err := e.other.handleJobs(ctx, peer.Identity{}, decode)
	if err == nil {
		*response.(*jobsResponse) = reply.(jobsResponse)
	}
	return err
}

// slowTable delays the results of reads, as if the process were paused between request and response.
type slowTable struct {
	platform.Table
	delay *atomic.Int64
}

func (s slowTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := s.Table.Get(ctx, keys...)
	time.Sleep(time.Duration(s.delay.Load()))
	return rows, err
}

// lastDispatchAfterCancel injects a fault into a runner, cancels its job, and returns how long after the
// cancellation the runner dispatched its last item.
func lastDispatchAfterCancel(t *testing.T, fault func(table *faulty.Table, delay *atomic.Int64, entry *forwardingEntry), withoutPeers bool) (after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		table, delay := faulty.New(p), new(atomic.Int64)
		directStore := jobstore.New(p, p.Objects())
		store := jobstore.New(slowTable{table, delay}, p.Objects())
		record := createJob(t, directStore, 5000, plainLine)
		items := &fakeItems{delay: 300 * time.Millisecond, dispatches: map[string]int{}}
		entry := &forwardingEntry{fakeEntry: &fakeEntry{limit: 4}, other: newTestRunner(directStore, &fakeEntry{}, items)}
		r := newTestRunner(store, entry.fakeEntry, items)
		r.config.Caller = entry
		if !withoutPeers {
			r.config.Peers = func() []netip.AddrPort { return make([]netip.AddrPort, 2) }
		}
		defer startRunner(r)()
		waitFor(t, time.Minute, "items sent", func() bool { return items.totalDispatches() > 20 })
		fault(table, delay, entry)
		cancelled := time.Now()
		_, err := directStore.Cancel(context.Background(), record.Job.ID)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Second)
		after = items.lastDispatch().Sub(cancelled)
		delay.Store(0)
		table.SetDown(false)
	})
	return after
}

func partitionFromTable(table *faulty.Table, _ *atomic.Int64, _ *forwardingEntry) {
	table.SetDown(true)
}

func partitionFromAll(table *faulty.Table, _ *atomic.Int64, entry *forwardingEntry) {
	table.SetDown(true)
	entry.isDown.Store(true)
}

func delayReads(_ *faulty.Table, delay *atomic.Int64, entry *forwardingEntry) {
	delay.Store(int64(10 * time.Second))
	entry.isDown.Store(true)
}

func TestCancelledJobIsNotDispatchedByARunnerThatCannotReadTheTable(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(*faulty.Table, *atomic.Int64, *forwardingEntry)
	}{{"partitioned from the table", partitionFromTable}, {"partitioned from table and peers", partitionFromAll}, {"reads are delayed", delayReads}} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, lastDispatchAfterCancel(t, test.fault, false) < maxDispatchAfterCancel, qt.IsTrue)
		})
	}
}

func TestDispatchLimitRejectsARunnerThatContinuesWheneverTheTableIsDown(t *testing.T) {
	// A runner that knows no peers assumes that every table outage affects the whole fleet.
	qt.Assert(t, lastDispatchAfterCancel(t, partitionFromTable, true) < maxDispatchAfterCancel, qt.IsFalse)
}

func TestPausedRunnerConfirmsJobsBeforeItDispatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		createJob(t, store, 100, plainLine)
		r := newTestRunner(store, &fakeEntry{}, &fakeItems{dispatches: map[string]int{}})
		r.renew(context.Background(), time.Hour, 1)
		found, err := r.discover(context.Background(), false)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.IsTrue)
		r.confirmJobs(context.Background())
		qt.Assert(t, r.demand()[0].Slots > 0, qt.IsTrue)
		// None of the runner's loops runs, as while the process is paused.
		time.Sleep(time.Minute)
		qt.Assert(t, r.demand()[0].Slots, qt.Equals, 0)
		_, ok := r.nextAttempt(grantOf(model), nil)
		qt.Assert(t, ok, qt.IsFalse)
		r.confirmJobs(context.Background())
		_, ok = r.nextAttempt(grantOf(model), nil)
		qt.Assert(t, ok, qt.IsTrue)
	})
}

// runOnlyItem returns a runner that holds a job of one item, and the attempt that has started it.
func runOnlyItem(t *testing.T) (*Runner, attempt) {
	p := memory.New()
	store := jobstore.New(p, p.Objects())
	createJob(t, store, 1, plainLine)
	r := newTestRunner(store, &fakeEntry{}, &fakeItems{dispatches: map[string]int{}})
	r.renew(context.Background(), time.Hour, 1)
	_, err := r.discover(context.Background(), false)
	qt.Assert(t, err, qt.IsNil)
	r.confirmJobs(context.Background())
	a, ok := r.nextAttempt(grantOf(model), nil)
	qt.Assert(t, ok, qt.IsTrue)
	return r, a
}

func TestQuarantinedSuspectFailsWithoutAnotherAttempt(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(r *Runner, a attempt)
	}{
		{"quarantined while it waits for a retry", func(r *Runner, a attempt) {
			r.finishAttempt(a, connectionLostOutcome(), nil)
			r.addQuarantined([]uint64{a.fingerprint})
		}},
		{"quarantined while it runs", func(r *Runner, a attempt) {
			r.addQuarantined([]uint64{a.fingerprint})
			r.finishAttempt(a, connectionLostOutcome(), nil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, a := runOnlyItem(t)
			test.events(r, a)
			results := a.chunk.run.Collect().Results
			qt.Assert(t, results, qt.HasLen, 1)
			qt.Assert(t, results[0].Error.Code, qt.Equals, verdict.CodeQuarantined)
		})
	}
}

func TestItemStoppedWhileItsTargetBrokeOffIsDispatchedAsSuspect(t *testing.T) {
	for _, test := range []struct {
		name   string
		events func(r *Runner, a attempt)
	}{
		{"the slot is revoked when the connection has just broken", func(r *Runner, a attempt) {
			r.finishAttempt(a, connectionLostOutcome(), errPreempted)
		}},
		{"the entry suspects the item that was stopped", func(r *Runner, a attempt) {
			r.finishAttempt(a, ItemOutcome{End: admission.EndCancelled, Err: &verdict.Error{Verdict: verdict.MayHaveRun}}, errPreempted)
			r.addSuspects([]uint64{a.fingerprint})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, a := runOnlyItem(t)
				test.events(r, a)
				time.Sleep(time.Second)
				r.confirmJobs(context.Background())
				_, ok := r.nextAttempt(grantOf(model), nil)
				qt.Assert(t, ok, qt.IsFalse)
				qt.Assert(t, r.demand()[0].Suspects, qt.DeepEquals, []uint64{a.fingerprint})
				grant := grantOf(model)
				grant.Suspect = a.fingerprint
				_, ok = r.nextAttempt(grant, nil)
				qt.Assert(t, ok, qt.IsTrue)
			})
		})
	}
}

func connectionLostOutcome() ItemOutcome {
	return ItemOutcome{End: admission.EndInterrupted, Err: &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed}}
}
