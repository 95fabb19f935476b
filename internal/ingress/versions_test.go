package ingress_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
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
	t.Run("a stream of unknown origin goes on while a single version serves", func(t *testing.T) {
		f := startVersions(t, 4, "v1", "v1")
		got, id := f.resume(t, "/resumable/", "of-a-lost-vm", 1)
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, f.runs(id), qt.Equals, 1)
	})
}
