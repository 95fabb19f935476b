package streamtarget

import "sync"

// Observer records what targets state about themselves. It implements platform.TargetObserver.
type Observer struct {
	mu      sync.Mutex
	leaving []string
	limits  []float64
	errors  []error
}

// TargetLeaving implements platform.TargetObserver.
func (o *Observer) TargetLeaving(target string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = append(o.leaving, target)
}

// TargetRateLimit implements platform.TargetObserver.
func (o *Observer) TargetRateLimit(_ string, perSecond float64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.errors = append(o.errors, err)
		return
	}
	o.limits = append(o.limits, perSecond)
}

// Leaving returns the targets that said that they are leaving.
func (o *Observer) Leaving() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving
}

// RateLimits returns the limits that targets stated, and the errors of those that could not be parsed.
func (o *Observer) RateLimits() ([]float64, []error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limits, o.errors
}
