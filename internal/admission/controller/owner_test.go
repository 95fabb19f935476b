package controller

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// livelockTimeout is the real time after which a test in virtual time is considered livelocked.
const livelockTimeout = 30 * time.Second

// Each of two held requests returns credits of the target that the other one waits for. If each notified the other
// whenever it was re-evaluated, neither would sleep again.
func TestHeldRequestsThatReturnCreditsDoNotLivelock(t *testing.T) {
	watchdog := time.AfterFunc(livelockTimeout, func() { panic("livelock: two held credit requests keep waking each other") })
	defer watchdog.Stop()
	runFleet(t, 1, []*settings.Target{engine("t1", "az-a", 2), engine("t2", "az-a", 2)}, func(f *fleet) {
		owner := f.nodes["vm-1"]
		for range 4 {
			_, err := owner.acquire("a", time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		start := time.Now()
		var requests sync.WaitGroup
		for i, names := range [][2]string{{"t1", "t2"}, {"t2", "t1"}} {
			message := CreditsRequest{Session: uint64(i + 1), Hold: true, Targets: []TargetRequest{
				{Target: names[0], Sequence: 1},
				{Target: names[1], Sequence: 1, Want: 1},
			}}
			requests.Go(func() {
				_, err := owner.handleCredits(f.ctx, peer.Identity{VM: names[0]}, func(into any) error {
					*into.(*CreditsRequest) = message
					return nil
				})
				qt.Check(t, err, qt.IsNil)
			})
		}
		requests.Wait()
		qt.Assert(t, time.Since(start) <= owner.config.HoldTimeout, qt.IsTrue)
	})
}
