package target

import (
	"cmp"
	"slices"
	"time"
)

// State is the health of a target.
type State uint8

// States of a target.
const (
	// Healthy targets take work.
	Healthy State = iota
	// Ejected targets take no work until a probe succeeds.
	Ejected
	// Probing targets are ejected and have a probe in flight.
	Probing
	// SlowStart targets take a rising share of their normal load.
	SlowStart
	// Leaving targets take no new work, whatever their health.
	Leaving
)

// String returns the name that operators see.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probing", "slow-start", "leaving"}[s]
}

// Signal is one observation of a target.
type Signal uint8

// Signals.
const (
	// Succeeded means that a complete response was received.
	Succeeded Signal = iota + 1
	// Unreachable means that no connection could be established.
	Unreachable
	// Refused means that the target explicitly refused a request.
	Refused
	// Interrupted means that the attempt failed before the complete response was received: the connection broke,
	// or the target sent an error status (5xx except 503), an error event or a malformed response.
	Interrupted
	// TimedOut means that the response did not arrive in time.
	TimedOut
)

// HealthConfig configures a HealthGroup.
type HealthConfig struct {
	// Failures is the number of consecutive interrupted and timed-out requests after which a target is ejected.
	// An unreachable target or one that refuses a request is ejected at once. Default 3.
	Failures int
	// SlowFactor is the multiple of the group's median time to first token above which a target is ejected. Default 5.
	SlowFactor float64
	// SlowMinimum is the time to first token below which a target is never ejected as slow. Default 500ms.
	SlowMinimum time.Duration
	// MinSamples is the number of times to first token needed before a target is compared with others. Default 10.
	MinSamples int
	// BaseEjection is the time before the first probe; it doubles with each consecutive ejection. Default 1s.
	BaseEjection time.Duration
	// MaxEjection bounds the time before a probe. Default 30s.
	MaxEjection time.Duration
	// MaxEjected is the share of a group that may be ejected at once. Default 0.5.
	MaxEjected float64
	// SlowStart is the time over which a returning target's share rises to 1. A single failure meanwhile ejects the target
	// again, because only one probe speaks for it. Default 10s.
	SlowStart time.Duration
}

func (c HealthConfig) withDefaults() HealthConfig {
	c.Failures = cmp.Or(c.Failures, 3)
	c.SlowFactor = cmp.Or(c.SlowFactor, 5)
	c.SlowMinimum = cmp.Or(c.SlowMinimum, 500*time.Millisecond)
	c.MinSamples = cmp.Or(c.MinSamples, 10)
	c.BaseEjection = cmp.Or(c.BaseEjection, time.Second)
	c.MaxEjection = cmp.Or(c.MaxEjection, 30*time.Second)
	c.MaxEjected = cmp.Or(c.MaxEjected, 0.5)
	c.SlowStart = cmp.Or(c.SlowStart, 10*time.Second)
	return c
}

// slowStartMinShare is the share of its normal load that a target receives at the beginning of slow start.
const slowStartMinShare = 0.1

// HealthGroup tracks the health of the targets that serve one model or service, as seen from one VM.
//
// Outliers are ejected, but never more than MaxEjected of the group: when most targets look unhealthy,
// the cause is more likely elsewhere, and ejecting them would overload the rest.
type HealthGroup struct {
	config  HealthConfig
	targets map[string]*health
}

type health struct {
	state      State
	reason     string
	failures   int
	ejections  int
	probeAt    time.Time
	since      time.Time
	firstToken time.Duration
	samples    int
	leaving    string
}

// NewHealthGroup returns an empty group.
func NewHealthGroup(config HealthConfig) *HealthGroup {
	return &HealthGroup{config: config.withDefaults(), targets: make(map[string]*health)}
}

// SetTargets replaces the names of the group's targets. New ones start healthy.
func (g *HealthGroup) SetTargets(names []string) {
	for name := range g.targets {
		if !slices.Contains(names, name) {
			delete(g.targets, name)
		}
	}
	for _, name := range names {
		if g.targets[name] == nil {
			g.targets[name] = &health{}
		}
	}
}

// Restart forgets what was observed of a target, whose process has started again under its name.
func (g *HealthGroup) Restart(name string) {
	if g.targets[name] != nil {
		g.targets[name] = &health{}
	}
}

// SetLeaving marks a target as leaving for a reason, or clears the mark if the reason is empty.
func (g *HealthGroup) SetLeaving(name, reason string) {
	if h := g.targets[name]; h != nil {
		h.leaving = reason
	}
}

// State returns a target's state and the reason for it.
func (g *HealthGroup) State(name string) (State, string) {
	h := g.targets[name]
	switch {
	case h == nil:
		return Leaving, "not in the settings"
	case h.leaving != "":
		return Leaving, h.leaving
	default:
		return h.state, h.reason
	}
}

// reasonRefuses is the reason of a target that was ejected because it refused a request.
const reasonRefuses = "refuses work"

// Refuses reports whether a target is ejected because it refused a request. Such a target is probably
// leaving, so other VMs should be told.
func (g *HealthGroup) Refuses(name string) bool {
	h := g.targets[name]
	return h != nil && (h.state == Ejected || h.state == Probing) && h.reason == reasonRefuses
}

// Share returns the share of its normal load that a target may take now: 0 when it may take no new work.
func (g *HealthGroup) Share(now time.Time, name string) float64 {
	state, _ := g.State(name)
	switch state {
	case Healthy:
		return 1
	case SlowStart:
		elapsed := now.Sub(g.targets[name].since)
		return max(slowStartMinShare, min(1, elapsed.Seconds()/g.config.SlowStart.Seconds()))
	default:
		return 0
	}
}

// Observe records the end of a request. The time to first token is zero if no token was received.
func (g *HealthGroup) Observe(now time.Time, name string, signal Signal, firstToken time.Duration) {
	h := g.targets[name]
	if h == nil {
		return
	}
	switch signal {
	case Succeeded:
		g.recordSuccess(now, h, firstToken)
	case Unreachable:
		g.eject(now, h, "cannot be reached")
	case Refused:
		g.eject(now, h, reasonRefuses)
	case Interrupted:
		g.recordFailure(now, h, "breaks off responses or responds with errors")
	case TimedOut:
		g.recordFailure(now, h, "does not answer in time")
	}
}

func (g *HealthGroup) recordSuccess(now time.Time, h *health, firstToken time.Duration) {
	h.failures = 0
	if h.state == SlowStart && now.Sub(h.since) >= g.config.SlowStart {
		h.state, h.reason, h.ejections = Healthy, "", 0
	}
	if firstToken <= 0 {
		return
	}
	const weight = 0.2
	if h.samples == 0 {
		h.firstToken = firstToken
	}
	h.samples++
	h.firstToken += time.Duration(weight * float64(firstToken-h.firstToken))
	if g.isSlow(h) {
		g.eject(now, h, "is much slower than its peers")
	}
}

func (g *HealthGroup) isSlow(h *health) bool {
	if h.samples < g.config.MinSamples || h.firstToken < g.config.SlowMinimum {
		return false
	}
	var others []time.Duration
	for _, other := range g.targets {
		if other != h && other.samples >= g.config.MinSamples {
			others = append(others, other.firstToken)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	median := others[(len(others)-1)/2]
	return float64(h.firstToken) > g.config.SlowFactor*float64(median)
}

func (g *HealthGroup) recordFailure(now time.Time, h *health, reason string) {
	h.failures++
	if h.failures >= g.config.Failures || h.state == SlowStart {
		g.eject(now, h, reason)
	}
}

func (g *HealthGroup) eject(now time.Time, h *health, reason string) {
	if h.state == Ejected || h.state == Probing || !g.mayEject() {
		return
	}
	h.ejections++
	h.state, h.reason, h.since = Ejected, reason, now
	h.failures, h.samples = 0, 0
	wait := g.config.BaseEjection << min(h.ejections-1, 16)
	h.probeAt = now.Add(min(wait, g.config.MaxEjection))
}

// mayEject reports whether another target may be ejected without exceeding MaxEjected.
func (g *HealthGroup) mayEject() bool {
	present, ejected := 0, 0
	for _, h := range g.targets {
		if h.leaving != "" {
			continue
		}
		present++
		if h.state == Ejected || h.state == Probing {
			ejected++
		}
	}
	return ejected+1 <= int(float64(present)*g.config.MaxEjected)
}

// DueProbes returns the targets to probe now and marks them as probing.
func (g *HealthGroup) DueProbes(now time.Time) []string {
	var due []string
	for name, h := range g.targets {
		if h.state == Ejected && !now.Before(h.probeAt) {
			h.state = Probing
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe records the result of a probe. A target that responded enters slow start.
func (g *HealthGroup) RecordProbe(now time.Time, name string, ok bool) {
	h := g.targets[name]
	if h == nil || h.state != Probing {
		return
	}
	if ok {
		h.state, h.since = SlowStart, now
		return
	}
	h.ejections++
	h.state = Ejected
	wait := g.config.BaseEjection << min(h.ejections-1, 16)
	h.probeAt = now.Add(min(wait, g.config.MaxEjection))
}
