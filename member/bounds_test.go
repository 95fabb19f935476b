package member

import (
	"math"
	"time"
)

// The bounds of the proofs, worked out from the protocol's constants.

// missedPeriods is the number of periods in which nobody probes a given member with a probability
// below e^-20: in one period each of n-1 members probes one of n-1 at random, so nobody probes
// a given one with the probability (1-1/(n-1))^(n-1) < 1/e.
const missedPeriods = 20

// spreadPeriods is the number of periods in which an update reaches all: it doubles its reach at least once a period.
func spreadPeriods(n int) int { return 2 * int(math.Ceil(math.Log2(float64(n+1)))) }

// deathBound bounds the time from a crash until all others hold the VM for dead, on a network without loss.
func deathBound(cfg Config, n int) time.Duration {
	return cfg.Period*time.Duration(missedPeriods+1+spreadPeriods(n)) + cfg.LongestSuspicion(n)
}

// slowDeathBound is deathBound where all members have the worst local health.
func slowDeathBound(cfg Config, n int) time.Duration {
	return time.Duration(cfg.MaxHealthScore+1) * deathBound(cfg, n)
}

// staleBound bounds the time for which a disturbance of a VM can still lead to its death in
// another's view: the suspicion that it caused must have run out or been refuted, and claims spread.
func staleBound(cfg Config, n int) time.Duration {
	return 2*cfg.LongestSuspicion(n) + time.Duration(spreadPeriods(n))*cfg.Period
}

// healBound bounds the time from the end of all faults until all views are right. A dead member is
// reached by one of those that hold it for dead within the rejoin periods that make a miss
// improbable; what it refutes then spreads, and comparisons of states repair the rest: their reach
// doubles in each sync period.
func healBound(cfg Config, n int) time.Duration {
	return slowDeathBound(cfg, n) +
		missedPeriods*cfg.RejoinPeriod +
		time.Duration(spreadPeriods(n))*cfg.SyncPeriod
}

// maxMessagesPerPeriod bounds the messages that a VM sends in one period without faults, whatever
// the number of VMs: one probe, one ack on average, and a tenth for rejoin probes and gossip.
const maxMessagesPerPeriod = 2.2
