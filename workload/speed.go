package workload

import (
	"math"
	"time"
)

const (
	// priorWeight is the weight of the prior slowdown 1. A target of 8 slots ends that many requests of 0.7 s within a second.
	priorWeight = 10
	// maxSpeedWeight bounds the weight of earlier observations. With costs that vary tenfold the error of the slowdown is then
	// about a tenth.
	maxSpeedWeight = 60
	// maxLogStep bounds the effect of one observation: requests during a phase of 2.5 times the usual time (0.92 in the logarithm)
	// count no more than ones that take 1.8 times as long.
	maxLogStep = 0.6
	// speedHalfLife is the time after which observations of the speed count half; a target without requests returns to the prior.
	speedHalfLife = 20 * time.Second
	// minSlowdown and maxSlowdown bound the result. Targets that are slower still are a matter of health checks.
	minSlowdown, maxSlowdown = 0.4, 4.0
	// fullPriorWeight is the weight of the usual slowdown in that of the nearly full target.
	fullPriorWeight = 10
	// refreshInterval is how often a slowdown is recomputed without an observation: computing it for 60 targets at each
	// placement would take half of the placement's time.
	refreshInterval = time.Second
)

// Speed estimates how much longer requests take on a target than expected, apart for when it is nearly full.
type Speed struct {
	usual, full logAverage
	slowdown    [2]float64
	computed    time.Time
}

// Observe records that a request took d where its class takes median.
func (s *Speed) Observe(now time.Time, d, median time.Duration, nearlyFull bool) {
	if d <= 0 || median <= 0 {
		return
	}
	ratio := math.Log(float64(d) / float64(median))
	if nearlyFull {
		s.full.observe(now, ratio-s.usual.value(now, priorWeight))
		// The rest of the observation is the target's own speed.
		s.usual.observe(now, ratio-s.full.value(now, fullPriorWeight))
	} else {
		s.usual.observe(now, ratio)
	}
	s.compute(now)
}

// Slowdown returns the factor by which requests take longer on the target, 1 if nothing is known.
func (s *Speed) Slowdown(now time.Time, nearlyFull bool) float64 {
	if s.computed.IsZero() {
		return 1
	}
	if now.Sub(s.computed) > refreshInterval {
		s.compute(now)
	}
	if nearlyFull {
		return s.slowdown[1]
	}
	return s.slowdown[0]
}

func (s *Speed) compute(now time.Time) {
	usual := s.usual.value(now, priorWeight)
	// A nearly full target is never expected to be faster than it usually is.
	full := max(s.full.value(now, fullPriorWeight), 0)
	s.slowdown = [2]float64{bounded(usual), bounded(usual + full)}
	s.computed = now
}

func bounded(logRatio float64) float64 { return min(max(math.Exp(logRatio), minSlowdown), maxSlowdown) }

// logAverage is a decaying average of logarithms that single observations do not move far.
type logAverage struct {
	weight, mean float64
	at           time.Time
}

func (a *logAverage) weightAt(now time.Time) float64 {
	return a.weight * math.Exp2(-float64(max(now.Sub(a.at), 0))/float64(speedHalfLife))
}

func (a *logAverage) observe(now time.Time, x float64) {
	a.weight = min(a.weightAt(now), maxSpeedWeight) + 1
	a.at = now
	step := min(max(x-a.mean, -maxLogStep), maxLogStep)
	a.mean += step / a.weight
}

// value returns the average together with a prior of zero.
func (a *logAverage) value(now time.Time, prior float64) float64 {
	weight := a.weightAt(now)
	return a.mean * weight / (weight + prior)
}
