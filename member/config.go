package member

import (
	"math"
	"time"
)

// Config holds the protocol's constants. Zero fields take their defaults.
type Config struct {
	// Period is the interval between the probes of a healthy member. Default 1 s.
	Period time.Duration
	// AckTimeout is the wait for a direct ack before indirect probes are sent, and for a relay
	// before it sends a nack. It must be below half of Period. Default 300 ms.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to relay a probe when the direct ack is missing. Default 3.
	IndirectProbes int
	// SuspicionFactor times Period times max(1, log10 n) is the shortest time from suspicion to death. Default 3.
	SuspicionFactor int
	// SuspicionSpread is the longest time from suspicion to death, with a single reporter, as a multiple of the shortest. Default 3.
	SuspicionSpread int
	// Confirmations is the number of further reporters that reduce that time to the shortest. Default 3.
	Confirmations int
	// RetransmitFactor times ceil(log2(n+1)) is the number of times that an update is sent. Default 3.
	RetransmitFactor int
	// GossipPeriod is the shortest time between two gossip rounds. Default 200 ms.
	GossipPeriod time.Duration
	// GossipFanout is the number of members that a gossip round is sent to. Default 3.
	GossipFanout int
	// SyncPeriod is the interval between full state syncs with a random member. Default 30 s.
	SyncPeriod time.Duration
	// RejoinPeriod is the time between attempts to reach a dead member or an unknown seed. Default 10 s.
	RejoinPeriod time.Duration
	// JoinPeriod replaces RejoinPeriod, and Period for a VM that knows no other, during JoinTime after the start: VMs
	// that failed together also start together, and the first attempts reach VMs that are not up yet. Default Period.
	JoinPeriod time.Duration
	// JoinTime is how long JoinPeriod applies. Default 0.
	JoinTime time.Duration
	// DeadRetention is how long a dead member is kept, and so the longest partition that heals
	// without the platform's list of VMs. Default 3 h.
	DeadRetention time.Duration
	// MaxHealthScore bounds the local health score, which lengthens this member's probe interval and timeouts. Default 4.
	MaxHealthScore int
	// MaxUpdateBytes bounds the encoded updates in one message, in bytes. Default 1000.
	MaxUpdateBytes int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		AckTimeout:       300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionFactor:  3,
		SuspicionSpread:  3,
		Confirmations:    3,
		RetransmitFactor: 3,
		GossipPeriod:     200 * time.Millisecond,
		GossipFanout:     3,
		SyncPeriod:       30 * time.Second,
		RejoinPeriod:     10 * time.Second,
		DeadRetention:    3 * time.Hour,
		MaxHealthScore:   4,
		MaxUpdateBytes:   1000,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.Period, d.Period)
	setDefault(&c.AckTimeout, d.AckTimeout)
	setDefault(&c.IndirectProbes, d.IndirectProbes)
	setDefault(&c.SuspicionFactor, d.SuspicionFactor)
	setDefault(&c.SuspicionSpread, d.SuspicionSpread)
	setDefault(&c.Confirmations, d.Confirmations)
	setDefault(&c.RetransmitFactor, d.RetransmitFactor)
	setDefault(&c.GossipPeriod, d.GossipPeriod)
	setDefault(&c.GossipFanout, d.GossipFanout)
	setDefault(&c.SyncPeriod, d.SyncPeriod)
	setDefault(&c.RejoinPeriod, d.RejoinPeriod)
	setDefault(&c.JoinPeriod, c.Period)
	setDefault(&c.DeadRetention, d.DeadRetention)
	setDefault(&c.MaxHealthScore, d.MaxHealthScore)
	setDefault(&c.MaxUpdateBytes, d.MaxUpdateBytes)
	return c
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// ShortestSuspicion returns the shortest time from suspicion to death among n members.
func (c Config) ShortestSuspicion(n int) time.Duration {
	scale := max(1, math.Log10(float64(max(n, 1))))
	return time.Duration(float64(c.SuspicionFactor) * scale * float64(c.Period))
}

// LongestSuspicion returns the longest time from suspicion to death among n members.
func (c Config) LongestSuspicion(n int) time.Duration {
	return time.Duration(c.SuspicionSpread) * c.ShortestSuspicion(n)
}

// retransmits returns the number of times that an update is sent among n members.
func (c Config) retransmits(n int) int {
	return c.RetransmitFactor * int(math.Ceil(math.Log2(float64(n+1))))
}
