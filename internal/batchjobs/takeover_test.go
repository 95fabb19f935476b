package batchjobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

func TestAnotherVMTakesOverTheJobsOfAVMThatIsGone(t *testing.T) {
	w := newWorld(t, 0)
	a, b := w.start("a", w.state, "b"), w.start("b", w.state, "a")
	w.accept(a, "j", 3)
	before := w.finish(a, "j", 3)
	w.targets[0].Inject(streamtarget.Hang, streamtarget.Hang)
	w.targets[1].Inject(streamtarget.Hang, streamtarget.Hang)
	w.accept(a, "k", 4)
	a.stop()
	<-a.stopped
	b.members.Set("b")
	w.checkWhole("k", 4, w.finish(b, "k", 4))
	qt.Assert(t, w.finish(b, "j", 3), qt.DeepEquals, before)
}

func TestAVMThatStopsHandsItsJobsOver(t *testing.T) {
	w := newWorld(t, 0)
	a, b := w.start("a", w.state, "b"), w.start("b", w.state, "a")
	w.targets[0].Inject(streamtarget.Hang, streamtarget.Hang)
	w.targets[1].Inject(streamtarget.Hang, streamtarget.Hang)
	w.accept(a, "k", 4)
	began := time.Now()
	a.Leave(t.Context())
	w.checkWhole("k", 4, w.finish(b, "k", 4))
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
}

// trouble-2 of both sites: VMs are stopped one after the other while the store is away.
func TestResultsThatCannotBeListedAreNotRunAgainAfterAStop(t *testing.T) {
	w := newWorld(t, 0)
	w.linkVMs("a", "b")
	store := &faulty{Rows: w.state}
	a, b := w.start("a", store, "b"), w.start("b", w.state, "a")
	w.accept(a, "j", 2)
	store.refuse.Store(1000)
	runs := func() int {
		total := 0
		for _, id := range []string{"j-0", "j-1"} {
			total += w.targets[0].Runs(id) + w.targets[1].Runs(id)
		}
		return total
	}
	w.eventually("both items run", func() bool { return runs() == 2 })
	time.Sleep(200 * time.Millisecond)
	a.Leave(t.Context())
	a.stop()
	<-a.stopped
	b.members.Set("b")
	w.checkWhole("j", 2, w.finish(b, "j", 2))
	qt.Assert(t, runs(), qt.Equals, 2)
}

// All VMs lose power at once: nobody is left to hand the progress over.
func TestItemsGoOnFromTheStoreAfterAllVMsAreLost(t *testing.T) {
	const interval = 400 * time.Millisecond
	w := newWorldOf(t, 0, interval)
	a := w.start("a", w.state)
	w.accept(a, "j", 2)
	w.eventually("progress in the store", func() bool { return len(w.progressRows()) == 2 })
	a.stop()
	<-a.stopped
	b := w.start("b", w.state)
	w.checkWhole("j", 2, w.finish(b, "j", 2))
	for i := range 2 {
		id := fmt.Sprintf("j-%d", i)
		resumed := append(w.targets[0].LastEventIDs(id), w.targets[1].LastEventIDs(id)...)
		qt.Check(t, slices.Max(resumed) > platform.NoEvent, qt.IsTrue, qt.Commentf("%s ran from the start, after events %v", id, resumed))
	}
	w.eventually("progress is deleted", func() bool { return len(w.progressRows()) == 0 })
}

func TestItemsRunFromTheStartWhenTheirProgressCannotBeRead(t *testing.T) {
	w := newWorld(t, 0)
	w.targets[0].Inject(streamtarget.Hang)
	w.targets[1].Inject(streamtarget.Hang)
	a := w.start("a", w.state)
	w.accept(a, "j", 2)
	a.stop()
	<-a.stopped
	for key, value := range map[string]string{"j/000/000": "\xa1\x01", "j/first/000": "x", "j/001/000": ""} {
		_, err := w.state.Apply(t.Context(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{
			RowKey: rowstore.RowKey{Table: progressTable, Part: progressPart, Key: key}, Value: []byte(value),
		}}})
		qt.Assert(t, err, qt.IsNil)
	}
	b := w.start("b", w.state)
	w.checkWhole("j", 2, w.finish(b, "j", 2))
}
