package batchjobs_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// An item went on at another software version than the one that wrote its first events (found after incident second1).
func TestTextOfAnItemComesFromOneVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		// after is called while the item runs at the first target, which then breaks off.
		after func(c *cluster)
		want  []int64
	}{
		"it goes on at another target of its version":               {[]string{"v1", "v2", "v1"}, func(*cluster) {}, nil},
		"it goes on at the same target if no other has its version": {[]string{"v1", "v2"}, func(*cluster) {}, nil},
		"it starts anew if its version is gone": {[]string{"v1", "v2"}, func(c *cluster) {
			c.slots.SetTargets(schedulingtest.Registered(service, 4, c.targets[1]))
		}, []int64{platform.NoEvent}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterOfVersions(t, 0, 20*time.Millisecond, test.versions...)
			c.targets[0].Inject(streamtarget.CutMidEvent)
			a := c.start("a", c.state)
			c.submitUntilAccepted(a, "j", 1)
			c.eventually("item runs", func() bool { return c.targets[0].Runs("j-0") > 0 })
			test.after(c)
			c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
			qt.Assert(t, c.targets[1].LastEventIDs("j-0"), qt.DeepEquals, test.want)
		})
	}
}
