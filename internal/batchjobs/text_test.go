package batchjobs

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/reserve"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Guards against a target whose events never end, which would fill the VM's memory.
func TestItemWhoseTextNeverEndsStartsAnew(t *testing.T) {
	state := &itemState{itemProgress: itemProgress{Position: platform.NoEvent, Failures: 2}}
	data := make([]byte, 64<<10)
	var err error
	for id := int64(0); err == nil && id < 1000; id++ {
		err = state.addEvent(id, data, "v1")
	}
	var failure *platform.TargetError
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Assert(t, failure.Failure, qt.Equals, platform.InvalidResponse)
	qt.Assert(t, state.snapshot(), qt.DeepEquals, itemProgress{Position: platform.NoEvent, Failures: 2})
}

// Guards against texts that are held together without a bound, and against memory that stays reserved for texts that are gone.
func TestTextsOfItemsShareABound(t *testing.T) {
	const bound = 1 << 20
	room := reserve.NewRoom(bound)
	isFree := func() bool {
		all := room.Reserve()
		defer all.Release()
		return all.Cover(bound + reserve.FreeBytes)
	}
	run := &jobRun{running: map[int]*itemState{}, texts: newTextRoom(room)}
	grow := func(index int, events int64) (state *itemState, err error) {
		state = run.begin(index)
		for id := int64(0); err == nil && id < events; id++ {
			err = state.addEvent(id, make([]byte, 1<<10), "v1")
		}
		return state, err
	}
	_, err := grow(0, 500)
	qt.Assert(t, err, qt.IsNil)
	second, err := grow(1, 2000)
	qt.Assert(t, err, qt.Equals, errNoTextRoom)
	qt.Assert(t, outcomeOf(t.Context(), err), qt.Equals, scheduler.Abandoned)
	qt.Assert(t, second.snapshot(), qt.DeepEquals, itemProgress{Position: platform.NoEvent})
	// Small texts need no room.
	rest := room.Reserve()
	qt.Assert(t, rest.Cover(1<<18), qt.IsTrue)
	_, err = grow(2, 12)
	qt.Assert(t, err, qt.IsNil)
	rest.Release()
	qt.Assert(t, isFree(), qt.IsFalse)
	run.texts.release(0)
	qt.Assert(t, isFree(), qt.IsTrue)
	_, err = grow(3, 500)
	qt.Assert(t, err, qt.IsNil)
	run.texts.close()
	qt.Assert(t, isFree(), qt.IsTrue)
	qt.Assert(t, run.texts.cover(3, bound), qt.IsTrue)
	qt.Assert(t, isFree(), qt.IsTrue)
}
