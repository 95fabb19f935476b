package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAModelWithoutSlotsIsTriedOneChunkAtATime(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	s := newStarvation()
	c.Assert(s.mayTake("m", true, start), qt.IsTrue)
	s.begin("m", start)
	c.Assert(s.mayTake("m", false, start.Add(starvedPause/2-time.Second)), qt.IsFalse)
	late := start.Add(2 * starvedPause)
	c.Assert(s.mayTake("m", false, late), qt.IsTrue)
	c.Assert(s.mayTake("m", true, late), qt.IsFalse)
	c.Assert(s.mayTake("other", true, late), qt.IsTrue)
	s.granted("m", late)
	c.Assert(s.mayTake("m", true, late), qt.IsTrue)
}
