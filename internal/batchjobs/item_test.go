package batchjobs_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
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
	t.Run("are not completed by a response that is no stream", func(t *testing.T) {
		c := newCluster(t, 0)
		for _, target := range c.targets {
			target.Inject(streamtarget.CutMidEvent, streamtarget.Empty, streamtarget.Page)
		}
		a := c.start("a", c.state)
		c.submitUntilAccepted(a, "j", 3)
		c.checkComplete("j", 3, c.waitForResults(a, "j", 3))
	})
	for name, faults := range map[string][]streamtarget.Fault{
		"are resumed when responses end early with their connections":  {streamtarget.Truncate, streamtarget.Truncate, streamtarget.Truncate},
		"are resumed when a target is lost":                            {streamtarget.Die},
		"are complete when targets reject the last event":              {streamtarget.None, streamtarget.Reject, streamtarget.Reject},
		"are resumed when the target that is asked for the rest fails": {streamtarget.Truncate, streamtarget.Fail, streamtarget.None},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterWith(t, 0, streamtarget.Config{Interval: time.Millisecond, EndsWithConnection: true}, "v1", "v1")
			c.targets[0].Inject(faults...)
			c.targets[1].Inject(faults[:len(faults)-1]...)
			a := c.start("a", c.state)
			c.submitUntilAccepted(a, "j", 1)
			c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
		})
	}
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

// Guards against items that share a part of their prompt and crash one target after the other (docs/incidents/tainted-part.md).
func TestItemsWithAPartThatCrashesTargetsAreHeldAndOthersComplete(t *testing.T) {
	const items = 12
	c := newClusterWith(t, 0, streamtarget.Config{Interval: time.Millisecond, CrashPart: "bad"}, "v1", "v1")
	a := c.start("a", c.state)
	var list []string
	for i := range items {
		parts := []string{"instructions", "own" + strconv.Itoa(i)}
		if i%2 == 1 {
			parts = slices.Insert(parts, 1, "bad")
		}
		header := http.Header{}
		platform.SetPrompt(header, parts...)
		flat := map[string]string{}
		for name := range header {
			flat[name] = header.Get(name)
		}
		encoded, err := json.Marshal(flat)
		qt.Assert(t, err, qt.IsNil)
		list = append(list, fmt.Sprintf(`{"id":"j-%d","path":"/b/%d","headers":%s,"body":"q83v","tokens":10}`, i, i, encoded))
	}
	content := `{"items":[` + strings.Join(list, ",") + `]}`
	c.eventually("acceptance", func() bool { return a.submit(c.config, "j", content).Code == http.StatusAccepted })
	got := c.waitForResults(a, "j", items/2)
	for _, r := range got.Results {
		qt.Assert(t, r.Text, qt.Equals, streamtarget.Text(r.ID, events))
	}
	crashes := func() int { return len(c.targets[0].Crashes()) + len(c.targets[1].Crashes()) }
	// The items that crashed targets would be sent again within maxItemRetryDelay.
	time.Sleep(2 * time.Second)
	settled := crashes()
	time.Sleep(6 * time.Second)
	qt.Assert(t, crashes(), qt.Equals, settled)
	got, _ = a.results("j", 0)
	qt.Assert(t, got.Results, qt.HasLen, items/2, qt.Commentf("an item that is held is not given up"))
}
