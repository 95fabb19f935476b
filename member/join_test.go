package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// After a power failure, all VMs of an availability zone or fleet start within a short time while client requests
// arrive again. VMs that do not know each other yet would each grant the slots of the same targets.
func TestVMsThatStartTogetherFindEachOtherSoon(t *testing.T) {
	const (
		vms, running = 12, 10
		startSpan    = 150 * time.Millisecond
		// joinBound is shorter than the latency objective of a request (300 ms).
		joinBound = 250 * time.Millisecond
	)
	fastConfig := Config{
		Period: 500 * time.Millisecond, AckTimeout: 150 * time.Millisecond, GossipPeriod: 100 * time.Millisecond,
		SyncPeriod: 5 * time.Second, RejoinPeriod: time.Second,
		JoinPeriod: 50 * time.Millisecond, JoinTime: 3 * time.Second,
	}
	for seed := range uint64(40) {
		s := newSim(func(self Member, rng *rand.Rand, now time.Time) protocol { return New(fastConfig, self, rng, now) }, vms, seed)
		for _, v := range s.vms {
			s.crash(v)
		}
		// Messages of the first processes have been delivered by then.
		s.run(time.Second)
		for _, v := range s.vms[:running] {
			s.at(s.now.Add(time.Duration(s.rng.Int64N(int64(startSpan)))), func() { s.startVM(v, 0) })
		}
		s.run(startSpan)
		took, err := s.runUntil(joinBound, s.converged)
		if err != nil {
			t.Error(fmt.Errorf("seed %d: not after %s: %w", seed, took, err))
		}
	}
}
