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

// linkedEntry also carries calls between runners.
type linkedEntry struct {
	*fakeEntry
	other  *Runner
	isDown atomic.Bool
}

func (e *linkedEntry) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, response any) error {
	if e.isDown.Load() || e.other == nil || method != methodJobs {
		return errors.New("unreachable")
	}
	decode := func(out any) error {
		*out.(*jobsQuestion) = request.(jobsQuestion)
		return nil
	}
	answer, err := e.other.handleJobs(ctx, peer.Identity{}, decode)
	if err == nil {
		*response.(*jobsAnswer) = answer.(jobsAnswer)
	}
	return err
}

// slowTable answers reads after a delay, like that of a process which is paused between question and answer.
type slowTable struct {
	platform.Table
	delay *atomic.Int64
}

func (s slowTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := s.Table.Get(ctx, keys...)
	time.Sleep(time.Duration(s.delay.Load()))
	return rows, err
}

// sentAfterCancel cancels a job while its runner has a fault, and returns how long after the
// cancel the runner still sent items.
func sentAfterCancel(t *testing.T, fault func(table *faulty.Table, delay *atomic.Int64, entry *linkedEntry), isAlone bool) (after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		table, delay := faulty.New(p), new(atomic.Int64)
		truth := jobstore.New(p, p.Objects())
		store := jobstore.New(slowTable{table, delay}, p.Objects())
		record := createJob(t, truth, 5000, plainLine)
		items := &fakeItems{delay: 300 * time.Millisecond, dispatches: map[string]int{}}
		entry := &linkedEntry{fakeEntry: &fakeEntry{limit: 4}, other: newTestRunner(truth, &fakeEntry{}, items)}
		r := newTestRunner(store, entry.fakeEntry, items)
		r.config.Caller = entry
		if !isAlone {
			r.config.Peers = func() []netip.AddrPort { return make([]netip.AddrPort, 2) }
		}
		defer start(r)()
		waitFor(t, time.Minute, "items sent", func() bool { return items.total() > 20 })
		fault(table, delay, entry)
		cancelled := time.Now()
		_, err := truth.Cancel(context.Background(), record.Job.ID)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Second)
		after = items.lastDispatch().Sub(cancelled)
		delay.Store(0)
		table.SetDown(false)
	})
	return after
}

func cutFromTable(table *faulty.Table, _ *atomic.Int64, _ *linkedEntry) { table.SetDown(true) }

func cutFromAll(table *faulty.Table, _ *atomic.Int64, entry *linkedEntry) {
	table.SetDown(true)
	entry.isDown.Store(true)
}

func slow(_ *faulty.Table, delay *atomic.Int64, entry *linkedEntry) {
	delay.Store(int64(10 * time.Second))
	entry.isDown.Store(true)
}

func TestACancelledJobSendsNothingNewAlsoOnARunnerThatCannotReadTheTable(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(*faulty.Table, *atomic.Int64, *linkedEntry)
	}{{"cut from the table", cutFromTable}, {"cut from all", cutFromAll}, {"answers come late", slow}} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, sentAfterCancel(t, test.fault, false) < cancelBound, qt.IsTrue)
		})
	}
}

func TestTheBoundRejectsARunnerThatGoesOnWheneverTheTableIsDown(t *testing.T) {
	// A runner that believes itself alone takes every outage for one of the whole fleet.
	qt.Assert(t, sentAfterCancel(t, cutFromTable, true) < cancelBound, qt.IsFalse)
}

func TestARunnerThatWasPausedAsksBeforeItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		store := jobstore.New(p, p.Objects())
		createJob(t, store, 100, plainLine)
		r := newTestRunner(store, &fakeEntry{}, &fakeItems{dispatches: map[string]int{}})
		r.renew(context.Background(), time.Hour, 1)
		found, err := r.discover(context.Background(), false)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.IsTrue)
		r.askJobs(context.Background())
		qt.Assert(t, r.demand()[0].Slots > 0, qt.IsTrue)
		// While the process is paused none of its loops runs.
		time.Sleep(time.Minute)
		qt.Assert(t, r.demand()[0].Slots, qt.Equals, 0)
		_, ok := r.nextTry(grantOf(model), nil)
		qt.Assert(t, ok, qt.IsFalse)
		r.askJobs(context.Background())
		_, ok = r.nextTry(grantOf(model), nil)
		qt.Assert(t, ok, qt.IsTrue)
	})
}

func TestAQuarantinedSuspectEndsAlsoWhileItWaitsForItsNextTry(t *testing.T) {
	for _, test := range []struct {
		name  string
		order func(r *Runner, t try)
	}{
		{"while it waits", func(r *Runner, t try) {
			r.finish(t, cutOutcome(), nil)
			r.quarantine([]uint64{t.fingerprint})
		}},
		{"while it runs", func(r *Runner, t try) {
			r.quarantine([]uint64{t.fingerprint})
			r.finish(t, cutOutcome(), nil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := memory.New()
			store := jobstore.New(p, p.Objects())
			createJob(t, store, 1, plainLine)
			r := newTestRunner(store, &fakeEntry{}, &fakeItems{dispatches: map[string]int{}})
			r.renew(context.Background(), time.Hour, 1)
			_, err := r.discover(context.Background(), false)
			qt.Assert(t, err, qt.IsNil)
			r.askJobs(context.Background())
			sent, ok := r.nextTry(grantOf(model), nil)
			qt.Assert(t, ok, qt.IsTrue)
			test.order(r, sent)
			results := sent.chunk.run.Collect().Results
			qt.Assert(t, results, qt.HasLen, 1)
			qt.Assert(t, results[0].Error.Code, qt.Equals, verdict.CodeQuarantined)
		})
	}
}

func cutOutcome() ItemOutcome {
	return ItemOutcome{End: admission.EndCut, Err: &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed}}
}
