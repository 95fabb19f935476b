package member

import (
	"math"
	"time"
)

// Config holds the protocol's constants. Zero fields take their defaults.
type Config struct {
	// Period is the time between two probes that a healthy member starts. Default 1 s.
	Period time.Duration
	// AckTimeout is the wait for a direct ack before indirect probes are sent, and for a relay
	// before it sends a nack. It must be below half of Period. Default 300 ms.
	AckTimeout time.Duration
	// IndirectProbes is the number of relays asked when the direct ack is missing. Default 3.
	IndirectProbes int
	// SuspicionFactor times Period times max(1, log10 n) is the shortest time from suspicion to death. Default 3.
	SuspicionFactor int
	// SuspicionSpread is the longest time from suspicion to death, for a single accuser, as a multiple of the shortest. Default 3.
	SuspicionSpread int
	// Confirmations is the number of further accusers that bring that time down to the shortest. Default 3.
	Confirmations int
	// RetransmitFactor times ceil(log2(n+1)) is how often one update is sent. Default 3.
	RetransmitFactor int
	// GossipPeriod is the shortest time between two bursts of news. Default 200 ms.
	GossipPeriod time.Duration
	// GossipFanout is the number of members in a burst. Default 3.
	GossipFanout int
	// SyncPeriod is the time between comparisons of the whole state with a random member. Default 30 s.
	SyncPeriod time.Duration
	// RejoinPeriod is the time between attempts to reach a dead member or an unknown seed. Default 10 s.
	RejoinPeriod time.Duration
	// JoinPeriod takes the place of RejoinPeriod, and of Period for a VM that knows no other, in the JoinTime after the
	// start: VMs that were lost together start together, and those that knock first find nobody. Default Period.
	JoinPeriod time.Duration
	// JoinTime is how long JoinPeriod holds. Default 0.
	JoinTime time.Duration
	// RememberDead is how long a dead member is remembered, and so the longest partition that heals
	// without the platform's list of VMs. Default 3 h.
	RememberDead time.Duration
	// MaxHealthScore bounds the local health score, which slows this member's own probes. Default 4.
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
		RememberDead:     3 * time.Hour,
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
	setDefault(&c.RememberDead, d.RememberDead)
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

// retransmits returns how often an update is sent among n members.
func (c Config) retransmits(n int) int {
	return c.RetransmitFactor * int(math.Ceil(math.Log2(float64(n+1))))
}
