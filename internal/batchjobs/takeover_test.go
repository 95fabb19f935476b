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

func TestTakeOverAfterOwnerIsLost(t *testing.T) {
	c := newCluster(t, 0)
	a, b := c.start("a", c.state, "b"), c.start("b", c.state, "a")
	c.submitUntilAccepted(a, "j", 3)
	before := c.waitForResults(a, "j", 3)
	c.targets[0].Inject(streamtarget.Hang, streamtarget.Hang)
	c.targets[1].Inject(streamtarget.Hang, streamtarget.Hang)
	c.submitUntilAccepted(a, "k", 4)
	a.stop()
	<-a.stopped
	b.members.Set("b")
	c.checkComplete("k", 4, c.waitForResults(b, "k", 4))
	qt.Assert(t, c.waitForResults(b, "j", 3), qt.DeepEquals, before)
}

func TestLeaveHandsJobsOver(t *testing.T) {
	c := newCluster(t, 0)
	a, b := c.start("a", c.state, "b"), c.start("b", c.state, "a")
	c.targets[0].Inject(streamtarget.Hang, streamtarget.Hang)
	c.targets[1].Inject(streamtarget.Hang, streamtarget.Hang)
	c.submitUntilAccepted(a, "k", 4)
	began := time.Now()
	a.Leave(t.Context())
	c.checkComplete("k", 4, c.waitForResults(b, "k", 4))
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
}

// VMs are stopped one after the other while the store is unavailable. Results that could not be committed are
// handed over, so that their items do not run again.
func TestUncommittedResultsAreHandedOver(t *testing.T) {
	c := newCluster(t, 0)
	c.connectVMs("a", "b")
	store := &faultyStore{Rows: c.state}
	a, b := c.start("a", store, "b"), c.start("b", c.state, "a")
	c.submitUntilAccepted(a, "j", 2)
	store.refuse.Store(1000)
	runs := func() int {
		total := 0
		for _, id := range []string{"j-0", "j-1"} {
			total += c.targets[0].Runs(id) + c.targets[1].Runs(id)
		}
		return total
	}
	c.eventually("both items run", func() bool { return runs() == 2 })
	time.Sleep(200 * time.Millisecond)
	a.Leave(t.Context())
	a.stop()
	<-a.stopped
	b.members.Set("b")
	c.checkComplete("j", 2, c.waitForResults(b, "j", 2))
	qt.Assert(t, runs(), qt.Equals, 2)
}

// All VMs are lost at once, so that none is left to hand the progress over.
func TestItemsResumeFromCheckpointAfterAllVMsAreLost(t *testing.T) {
	const interval = 400 * time.Millisecond
	c := newClusterWithInterval(t, 0, interval)
	a := c.start("a", c.state)
	c.submitUntilAccepted(a, "j", 2)
	c.eventually("progress is stored", func() bool { return len(c.progressRows()) == 2 })
	a.stop()
	<-a.stopped
	b := c.start("b", c.state)
	c.checkComplete("j", 2, c.waitForResults(b, "j", 2))
	for i := range 2 {
		id := fmt.Sprintf("j-%d", i)
		resumed := append(c.targets[0].LastEventIDs(id), c.targets[1].LastEventIDs(id)...)
		qt.Check(t, slices.Max(resumed) > platform.NoEvent, qt.IsTrue, qt.Commentf("%s ran from the start; runs began after events %v", id, resumed))
	}
	c.eventually("progress is deleted", func() bool { return len(c.progressRows()) == 0 })
}

func TestItemsRestartWhenProgressIsUnreadable(t *testing.T) {
	c := newCluster(t, 0)
	c.targets[0].Inject(streamtarget.Hang)
	c.targets[1].Inject(streamtarget.Hang)
	a := c.start("a", c.state)
	c.submitUntilAccepted(a, "j", 2)
	a.stop()
	<-a.stopped
	for key, value := range map[string]string{"j/000/000": "\xa1\x01", "j/first/000": "x", "j/001/000": ""} {
		_, err := c.state.Apply(t.Context(), rowstore.RowTxn{Writes: []rowstore.RowWrite{{
			RowKey: rowstore.RowKey{Table: progressTable, Part: progressPartition, Key: key}, Value: []byte(value),
		}}})
		qt.Assert(t, err, qt.IsNil)
	}
	b := c.start("b", c.state)
	c.checkComplete("j", 2, c.waitForResults(b, "j", 2))
}
