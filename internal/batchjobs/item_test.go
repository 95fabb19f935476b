package batchjobs_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

func TestItemFailures(t *testing.T) {
	t.Run("are retried on other targets until completed", func(t *testing.T) {
		c := newCluster(t, 0)
		for _, target := range c.targets {
			target.Inject(streamtarget.CutMidEvent, streamtarget.Shed, streamtarget.CutBefore, streamtarget.WrongID, streamtarget.SkipEvent, streamtarget.Unframed, streamtarget.Fail)
		}
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 6)
		c.checkComplete("j", 6, c.waitForResults(a, "j", 6))
	})
	t.Run("are not given up for one target that fails all", func(t *testing.T) {
		c := newCluster(t, 0)
		for range 20 {
			c.targets[0].Inject(streamtarget.Fail)
		}
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 6)
		c.checkComplete("j", 6, c.waitForResults(a, "j", 6))
	})
	t.Run("are still owed when targets need longer for the first event than the first timeout", func(t *testing.T) {
		c := newClusterPausing(t, 1200*time.Millisecond)
		for _, target := range c.targets {
			target.Inject(streamtarget.PauseFirst, streamtarget.PauseFirst, streamtarget.PauseFirst, streamtarget.PauseFirst, streamtarget.PauseFirst, streamtarget.PauseFirst)
		}
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 1)
		c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
		qt.Assert(t, c.targets[0].Runs("j-0")+c.targets[1].Runs("j-0") <= 2, qt.IsTrue)
	})
	t.Run("are still owed when one target after another crashed under the item", func(t *testing.T) {
		c := newCluster(t, 0)
		for _, target := range c.targets {
			target.Inject(streamtarget.CutBefore, streamtarget.CutMidEvent, streamtarget.CutBefore, streamtarget.CutBefore)
		}
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 1)
		c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
	})
	for name, faults := range map[string][]streamtarget.Fault{
		"are given up when a target rejects them for good": {streamtarget.Reject},
		"are given up at the route's limit of failures":    {streamtarget.Fail, streamtarget.Fail, streamtarget.Fail},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 0)
			for _, target := range c.targets {
				target.Inject(faults...)
			}
			a := c.start("a", c.state)
			c.submitUntilAccepted(a, "j", 1)
			got := c.waitForResults(a, "j", 1)
			qt.Assert(t, got.Results[0].State, qt.Equals, "dead_letter")
			qt.Assert(t, c.targets[0].Runs("j-0")+c.targets[1].Runs("j-0"), qt.Equals, len(faults))
		})
	}
	t.Run("are given up when their route is removed", func(t *testing.T) {
		c := newCluster(t, 0)
		c.targets[0].Inject(streamtarget.Hang)
		c.targets[1].Inject(streamtarget.Hang)
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 1)
		c.eventually("item runs", func() bool { return c.targets[0].Runs("j-0")+c.targets[1].Runs("j-0") > 0 })
		c.config.table.Store(&routing.Table{Version: 2})
		got := c.waitForResults(a, "j", 1)
		qt.Assert(t, got.Results[0].State, qt.Equals, "dead_letter")
	})
}
