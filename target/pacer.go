package target

import (
	"cmp"
	"time"
)

// PacerConfig configures a Pacer.
type PacerConfig struct {
	// High is the ratio of the present to the undisturbed first-token time or time between tokens above which
	// batch work is cut. Default 2.
	High float64
	// Low is the ratio below which batch work may grow again. The gap to High is the hysteresis. Default 1.5.
	Low float64
	// Cut is the factor by which the limit is cut. Default 0.7.
	Cut float64
	// Interval is the least time between two changes. Default 500ms.
	Interval time.Duration
	// Fresh is the age after which observations no longer count, and load reports are used instead. Default 5s.
	Fresh time.Duration
}

func (c PacerConfig) withDefaults() PacerConfig {
	c.High = cmp.Or(c.High, 2)
	c.Low = cmp.Or(c.Low, 1.5)
	c.Cut = cmp.Or(c.Cut, 0.7)
	c.Interval = cmp.Or(c.Interval, 500*time.Millisecond)
	c.Fresh = cmp.Or(c.Fresh, 5*time.Second)
	return c
}

// Pacer limits the batch requests on one target so that online requests there keep their
// first-token time and time between tokens. It cuts by a factor and grows by one (AIMD; Chiu and Jain 1989).
type Pacer struct {
	config     PacerConfig
	slots      int
	limit      float64
	firstToken ratio
	perToken   ratio
	observed   time.Time
	changed    time.Time
}

// ratio compares the present value of a time with its undisturbed value.
type ratio struct {
	present float64
	base    float64
}

const (
	// presentWeight is the weight of a new observation in the present value.
	presentWeight = 0.2
	// baseRise is how fast the undisturbed value follows a lasting rise, per observation.
	baseRise = 0.002
)

func (r *ratio) observe(value float64) {
	if r.base == 0 {
		r.present, r.base = value, value
		return
	}
	r.present += presentWeight * (value - r.present)
	if r.present < r.base {
		r.base = r.present
		return
	}
	r.base += baseRise * (r.present - r.base)
}

func (r *ratio) value() float64 {
	if r.base == 0 {
		return 1
	}
	return r.present / r.base
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

// FirstToken returns the undisturbed first-token time, or zero while none was observed.
func (p *Pacer) FirstToken() time.Duration {
	return time.Duration(p.firstToken.base * float64(time.Second))
}

// Limit returns the number of batch requests that the target should run at most.
func (p *Pacer) Limit() int { return int(p.limit) }

// Observe records an online request that completed on the target.
func (p *Pacer) Observe(now time.Time, firstToken, perToken time.Duration) {
	if firstToken > 0 {
		p.firstToken.observe(firstToken.Seconds())
	}
	if perToken > 0 {
		p.perToken.observe(perToken.Seconds())
	}
	p.observed = now
	p.adjust(now, max(p.firstToken.value(), p.perToken.value()))
}

// Tick lets the limit grow while no online request disturbs or is disturbed.
func (p *Pacer) Tick(now time.Time) {
	if now.Sub(p.observed) >= p.config.Fresh {
		p.adjust(now, 1)
	}
}

// Report records a load report of the target, which lags. It counts only without fresh observations of our own.
func (p *Pacer) Report(now time.Time, waiting int) {
	if waiting > 0 && now.Sub(p.observed) >= p.config.Fresh {
		p.adjust(now, p.config.High+1)
	}
}

func (p *Pacer) adjust(now time.Time, slowdown float64) {
	if now.Sub(p.changed) < p.config.Interval {
		return
	}
	switch {
	case slowdown > p.config.High:
		p.limit = max(1, p.limit*p.config.Cut)
		p.changed = now
	case slowdown < p.config.Low && p.limit < float64(p.slots):
		p.limit = min(float64(p.slots), p.limit+1)
		p.changed = now
	}
}
