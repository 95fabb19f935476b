package job

import "time"

// Policy limits the retries and the commits of a Run. The zero value of a field stands for its default.
type Policy struct {
	// MaxTries bounds the tries in which an item may have run. Default 4.
	MaxTries int
	// MaxRefusals bounds the tries in which an item certainly did not run. Default 100.
	MaxRefusals int
	// RetryDelay is the wait before the second try; it doubles with each try. Default 500ms.
	RetryDelay time.Duration
	// MaxRetryDelay bounds the wait between tries. Default 30s.
	MaxRetryDelay time.Duration
	// PreemptionDelay is the wait before an item continues that was preempted. If it has crashed its target, that is known by
	// then, and it continues apart from other suspects. Default 1s.
	PreemptionDelay time.Duration
	// SegmentItems is the number of results that are written together. Default 64.
	SegmentItems int
	// SegmentAge is the longest time that a result waits to be written. Default 10s.
	SegmentAge time.Duration
	// IntentItems is the number of non-idempotent items whose intents are written together. Default 16.
	IntentItems int
}

// WithDefaults returns the policy with its defaults filled in.
func (p Policy) WithDefaults() Policy {
	setDefault(&p.MaxTries, 4)
	setDefault(&p.MaxRefusals, 100)
	setDefault(&p.RetryDelay, 500*time.Millisecond)
	setDefault(&p.MaxRetryDelay, 30*time.Second)
	setDefault(&p.PreemptionDelay, time.Second)
	setDefault(&p.SegmentItems, 64)
	setDefault(&p.SegmentAge, 10*time.Second)
	setDefault(&p.IntentItems, 16)
	return p
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
