package target

import (
	"cmp"
	"time"
)

// PacerConfig configures a Pacer.
type PacerConfig struct {
	// HighRatio is the ratio of current to baseline time to first token, or time between tokens, above which
	// batch work is reduced. Default 2.
	HighRatio float64
	// LowRatio is the ratio below which batch work may grow again. The gap to HighRatio is the hysteresis.
	// Default 1.5.
	LowRatio float64
	// DecreaseFactor is the factor by which the limit is multiplied to reduce it. Default 0.7.
	DecreaseFactor float64
	// Interval is the minimum time between two changes. Default 500ms.
	Interval time.Duration
	// StaleAfter is the age after which observations are ignored and load reports are used instead. Default 5s.
	StaleAfter time.Duration
}

func (c PacerConfig) withDefaults() PacerConfig {
	c.HighRatio = cmp.Or(c.HighRatio, 2)
	c.LowRatio = cmp.Or(c.LowRatio, 1.5)
	c.DecreaseFactor = cmp.Or(c.DecreaseFactor, 0.7)
	c.Interval = cmp.Or(c.Interval, 500*time.Millisecond)
	c.StaleAfter = cmp.Or(c.StaleAfter, 5*time.Second)
	return c
}

// Pacer limits the batch requests on one target to protect the time to first token and the time between
// tokens of its online requests, by additive increase and multiplicative decrease (AIMD; Chiu and Jain 1989).
type Pacer struct {
	config       PacerConfig
	slots        int
	limit        float64
	firstToken   ratio
	perToken     ratio
	lastObserved time.Time
	lastChanged  time.Time
}

// ratio compares the current value of a latency with its baseline, the value without contention.
type ratio struct {
	current  float64
	baseline float64
}

const (
	// currentWeight is the weight of a new observation in the current value.
	currentWeight = 0.2
	// baselineRate is the rate, per observation, at which the baseline follows a lasting rise.
	baselineRate = 0.002
)

func (r *ratio) observe(value float64) {
	if r.baseline == 0 {
		r.current, r.baseline = value, value
		return
	}
	r.current += currentWeight * (value - r.current)
	if r.current < r.baseline {
		r.baseline = r.current
		return
	}
	r.baseline += baselineRate * (r.current - r.baseline)
}

func (r *ratio) value() float64 {
	if r.baseline == 0 {
		return 1
	}
	return r.current / r.baseline
}

// NewPacer returns a pacer that allows all slots.
func NewPacer(config PacerConfig, slots int) *Pacer {
	return &Pacer{config: config.withDefaults(), slots: slots, limit: float64(slots)}
}

// SetSlots changes the number of the target's slots.
func (p *Pacer) SetSlots(slots int) {
	if p.limit >= float64(p.slots) {
		p.limit = float64(slots)
	}
	p.slots = slots
	p.limit = min(p.limit, float64(slots))
}

// FirstToken returns the baseline time to first token, or zero if none has been observed.
func (p *Pacer) FirstToken() time.Duration {
	return time.Duration(p.firstToken.baseline * float64(time.Second))
}

// Limit returns the maximum number of batch requests that the target should run.
func (p *Pacer) Limit() int { return int(p.limit) }

// Observe records an online request that completed on the target.
func (p *Pacer) Observe(now time.Time, firstToken, perToken time.Duration) {
	if firstToken > 0 {
		p.firstToken.observe(firstToken.Seconds())
	}
	if perToken > 0 {
		p.perToken.observe(perToken.Seconds())
	}
	p.lastObserved = now
	p.adjust(now, max(p.firstToken.value(), p.perToken.value()))
}

// Tick lets the limit grow while there are no recent observations of online requests.
func (p *Pacer) Tick(now time.Time) {
	if now.Sub(p.lastObserved) >= p.config.StaleAfter {
		p.adjust(now, 1)
	}
}

// Report records a load report of the target. Reports lag, so they are used only without recent observations.
func (p *Pacer) Report(now time.Time, waiting int) {
	if waiting > 0 && now.Sub(p.lastObserved) >= p.config.StaleAfter {
		p.adjust(now, p.config.HighRatio+1)
	}
}

func (p *Pacer) adjust(now time.Time, slowdown float64) {
	if now.Sub(p.lastChanged) < p.config.Interval {
		return
	}
	switch {
	case slowdown > p.config.HighRatio:
		p.limit = max(1, p.limit*p.config.DecreaseFactor)
		p.lastChanged = now
	case slowdown < p.config.LowRatio && p.limit < float64(p.slots):
		p.limit = min(float64(p.slots), p.limit+1)
		p.lastChanged = now
	}
}
