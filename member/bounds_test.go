package member

import (
	"math"
	"time"
)

// The time bounds that the tests assert, derived from the protocol's constants.

// missedPeriods is the number of consecutive periods in which a given member is probed by no other with a
// probability below e^-20: in one period each of n-1 members probes one of n-1 at random, so a given
// member is not probed with the probability (1-1/(n-1))^(n-1) < 1/e.
const missedPeriods = 20

// disseminationPeriods bounds the number of periods in which an update reaches all members: the number of members that
// have it at least doubles in each period.
func disseminationPeriods(n int) int { return 2 * int(math.Ceil(math.Log2(float64(n+1)))) }

// deathBound bounds the time from a crash until all others consider the VM dead, on a network without loss.
func deathBound(cfg Config, n int) time.Duration {
	return cfg.Period*time.Duration(missedPeriods+1+disseminationPeriods(n)) + cfg.LongestSuspicion(n)
}

// degradedDeathBound is deathBound where all members have the worst local health.
func degradedDeathBound(cfg Config, n int) time.Duration {
	return time.Duration(cfg.MaxHealthScore+1) * deathBound(cfg, n)
}

// staleBound bounds the time after a disturbance of a VM in which another may still mark it dead: the
// resulting suspicion must have expired or been refuted, and the claims disseminated.
func staleBound(cfg Config, n int) time.Duration {
	return 2*cfg.LongestSuspicion(n) + time.Duration(disseminationPeriods(n))*cfg.Period
}

// healBound bounds the time from the end of all faults until all views are correct. A member marked dead
// is contacted by one of those that consider it dead within missedPeriods rejoin periods; its refutation
// is then disseminated, and state syncs repair the rest: the number of members they reach doubles in each
// sync period.
func healBound(cfg Config, n int) time.Duration {
	return degradedDeathBound(cfg, n) +
		missedPeriods*cfg.RejoinPeriod +
		time.Duration(disseminationPeriods(n))*cfg.SyncPeriod
}

// maxMessagesPerPeriod bounds the messages that a VM sends in one period without faults, independent of
// the number of VMs: one probe, one ack on average, and a tenth for rejoin probes and gossip.
const maxMessagesPerPeriod = 2.2
