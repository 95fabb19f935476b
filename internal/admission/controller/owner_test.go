package controller

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// spinLimit is the real time after which a test in virtual time is taken to spin.
const spinLimit = 30 * time.Second

// Each of two asks returns credits of the target whose credits the other waits for.
func TestHeldAsksThatReturnCreditsDoNotWakeEachOtherForEver(t *testing.T) {
	watchdog := time.AfterFunc(spinLimit, func() { panic("two held asks wake each other without end") })
	defer watchdog.Stop()
	runFleet(t, 1, []*settings.Target{engine("t1", "az-a", 2), engine("t2", "az-a", 2)}, func(f *fleet) {
		owner := f.nodes["vm-1"]
		for range 4 {
			_, err := owner.acquire("a", time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		began := time.Now()
		var asks sync.WaitGroup
		for i, names := range [][2]string{{"t1", "t2"}, {"t2", "t1"}} {
			message := CreditsAsk{Session: uint64(i + 1), Hold: true, Targets: []TargetAsk{
				{Target: names[0], Sequence: 1},
				{Target: names[1], Sequence: 1, Want: 1},
			}}
			asks.Go(func() {
				_, err := owner.handleCredits(f.ctx, peer.Identity{VM: names[0]}, func(into any) error {
					*into.(*CreditsAsk) = message
					return nil
				})
				qt.Check(t, err, qt.IsNil)
			})
		}
		asks.Wait()
		qt.Assert(t, time.Since(began) <= owner.config.AskWait, qt.IsTrue)
	})
}
