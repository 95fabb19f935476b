package scheduling

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// earlierRun is a run as reported by builds that do not place by cost.
type earlierRun struct {
	Sequence uint64          `cbor:"1,keyasint"`
	Class    scheduler.Class `cbor:"2,keyasint,omitempty"`
	Target   string          `cbor:"3,keyasint"`
	DueIn    time.Duration   `cbor:"4,keyasint,omitempty"`
	Expected time.Duration   `cbor:"5,keyasint,omitempty"`
}

// Guards against reports that VMs of the earlier build cannot read while VMs are replaced, and against other bytes where targets are
// chosen by free slots.
func TestEarlierBuildReadsReportedRuns(t *testing.T) {
	slot := &Slot{Target: "i-1647105cbe", granted: time.Now().Add(-400 * time.Millisecond), request: scheduler.Request{
		StartBy: time.Now(), Route: "chat", Account: "acme", PromptTokens: 450, OutputTokens: 240, Prefix: 1 << 60,
	}}
	now := time.Now()
	withCosts, without := slot.run(now, 7, true), slot.run(now, 7, false)
	encoded, err := cbor.Marshal(withCosts)
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierRun
	qt.Assert(t, cbor.Unmarshal(encoded, &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.Equals, earlierRun{Sequence: 7, Target: slot.Target, DueIn: without.DueIn})
	plain, err := cbor.Marshal(without)
	qt.Assert(t, err, qt.IsNil)
	previous, err := cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plain, qt.DeepEquals, previous)
	t.Logf("%d bytes, %d with costs", len(plain), len(encoded))
}
