package ingress_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// Streams went on at another software version than the one that began them (incident second1).
func TestStreamNeverHoldsEventsOfTwoVersions(t *testing.T) {
	t.Run("a target that fails before the first event is replaced by one of any version", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v2")
		f.targets[0].Inject(streamtarget.CutBefore)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	})
	t.Run("a response goes on at the same version", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v2", "v1")
		f.targets[0].Inject(streamtarget.CutMidEvent)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
		qt.Assert(t, f.targets[1].Runs(id), qt.Equals, 0)
	})
	t.Run("a response ends incomplete rather than go on at another version", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v2")
		f.targets[0].Inject(streamtarget.CutMidEvent)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.err, qt.IsNotNil)
		qt.Assert(t, f.targets[1].Runs(id), qt.Equals, 0)
	})
	t.Run("a silent target is not replaced by one of another version", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v2")
		f.targets[0].Inject(streamtarget.PauseMidStream)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
		qt.Assert(t, f.targets[1].Runs(id), qt.Equals, 0)
	})
	t.Run("a client's next attempt goes on at the version of the attempt that it names", func(t *testing.T) {
		f := startVersions(t, 4, "v2", "v1", "v2")
		f.targets[0].Inject(streamtarget.Shed)
		f.targets[1].Inject(streamtarget.CutMidEvent)
		got, first := f.send(t, "/resumable/")
		qt.Assert(t, got.err, qt.IsNotNil)
		for range 2 {
			got, id := f.resume(t, "/resumable/", first, 1)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, f.targets[1].LastEventIDs(id), qt.DeepEquals, []int64{1})
		}
	})
	t.Run("a stream of unknown origin is refused as not run while several versions serve", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v2")
		got, id := f.resume(t, "/resumable/", "of-a-lost-vm", 1)
		qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, f.runs(id), qt.Equals, 0)
	})
	t.Run("a stream of unknown origin goes on if a single version has served", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v1")
		got, id := f.resume(t, "/resumable/", "of-a-lost-vm", 1)
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, f.runs(id), qt.Equals, 1)
	})
	for _, attempt := range []string{"of-a-lost-vm", ""} {
		t.Run("a stream of unknown origin is refused if another version served a moment ago, attempt "+attempt, func(t *testing.T) {
			f := &fixture{store: memory.New()}
			recordVersions(t, f.store, []routing.Target{{ID: "i-old", Service: service, Version: "v1"}})
			f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v2"})
			f.serve(t, 4, timeout, quarantine.Config{})
			got, id := f.resume(t, "/resumable/", attempt, 1)
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, f.runs(id), qt.Equals, 0)
		})
	}
	t.Run("a stream is refused if its route moved to another service", func(t *testing.T) {
		f := &fixture{}
		f.adjust = func(c *ingress.Config, _ *routing.Table) {
			c.Origins.Record("of-another-service", origin.Origin{Service: "moved-from", Version: "v1"}, false)
		}
		f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v1"})
		f.serve(t, 4, timeout, quarantine.Config{})
		got, id := f.resume(t, "/resumable/", "of-another-service", 1)
		qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, f.runs(id), qt.Equals, 0)
	})
}

// startOrigins starts the service that knows the origins of streams.
func startOrigins(t *testing.T, store *memory.Platform, targets []routing.Target) (s *origins.Service, stop func()) {
	s = origins.New(origins.Config{Members: schedulingtest.NewMembers("vm"), Node: schedulingtest.DiscardNode, Rows: store, Log: zerolog.Nop()})
	s.SetTargets(targets)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { s.Run(ctx) })
	stop = func() {
		cancel()
		tasks.Wait()
	}
	t.Cleanup(stop)
	return s, stop
}

// recordVersions runs an earlier process until it has recorded the versions of targets.
func recordVersions(t *testing.T, store *memory.Platform, targets []routing.Target) {
	_, stop := startOrigins(t, store, targets)
	defer stop()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		page, err := store.Read(t.Context(), "rosemarydyke-origins", "", rowstore.KeyRange{})
		qt.Assert(t, err, qt.IsNil)
		if len(page.Rows) > 0 {
			return
		}
		qt.Assert(t, time.Since(began) < 10*time.Second, qt.IsTrue)
	}
}
