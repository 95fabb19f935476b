package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestStarvedModelIsProbedWithOneChunkAtATime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := newStarvation()
	c.Assert(s.mayClaim("m", true, now), qt.IsTrue)
	s.pause("m", now)
	c.Assert(s.mayClaim("m", false, now.Add(starvationBackoff/2-time.Second)), qt.IsFalse)
	afterPause := now.Add(2 * starvationBackoff)
	c.Assert(s.mayClaim("m", false, afterPause), qt.IsTrue)
	c.Assert(s.mayClaim("m", true, afterPause), qt.IsFalse)
	c.Assert(s.mayClaim("other", true, afterPause), qt.IsTrue)
	s.slotGranted("m", afterPause)
	c.Assert(s.mayClaim("m", true, afterPause), qt.IsTrue)
}
