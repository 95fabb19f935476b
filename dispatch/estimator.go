package dispatch

import (
	"math"
	"time"
)

const (
	// durationWeight is the weight of a new observation in the moving averages.
	durationWeight = 0.1
	// firstTokenDecay is the age at which the estimated time to first token has decayed to 1/e, so that a
	// temporary slowdown does not cause all later requests to be refused.
	firstTokenDecay = 10 * time.Second
	// minRetryAfter is the minimum wait requested of a refused caller.
	minRetryAfter = time.Second
	// maxRetryAfter is the maximum wait requested of a refused caller, before jitter.
	maxRetryAfter = time.Minute
	// retryJitter is the maximum jitter as a share of the wait. It spreads callers that were refused together.
	retryJitter = 0.5
)

// Estimator predicts how long a request waits for a slot and for its first token.
type Estimator struct {
	duration   time.Duration
	firstToken time.Duration
	observed   time.Time
}

// Observe records a completed request.
func (e *Estimator) Observe(now time.Time, firstToken, duration time.Duration) {
	e.duration = movingAverage(e.duration, duration)
	if firstToken > 0 {
		e.firstToken = movingAverage(e.firstToken, firstToken)
		e.observed = now
	}
}

func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(durationWeight*float64(observed-old))
}

// FirstToken returns the expected time from sending a request to the first byte of the response.
func (e *Estimator) FirstToken(now time.Time) time.Duration {
	if e.firstToken == 0 {
		return 0
	}
	age := now.Sub(e.observed).Seconds() / firstTokenDecay.Seconds()
	return time.Duration(float64(e.firstToken) * math.Exp(-age))
}

// Capacity is the number of requests of one model or service that a VM can run at once.
type Capacity struct {
	// InUse is the number of running requests.
	InUse int
	// Obtainable is the number of further slots that can be obtained at once.
	Obtainable int
}

// Wait returns the expected wait for a slot behind a number of other requests. By Little's law, n running
// requests of mean duration d leave at a rate of n/d. It reports false while there is too little data.
func (e *Estimator) Wait(ahead int, capacity Capacity) (time.Duration, bool) {
	queued := ahead - capacity.Obtainable
	if queued < 0 {
		return 0, true
	}
	running := capacity.InUse + capacity.Obtainable
	if e.duration == 0 || running <= 0 {
		return 0, false
	}
	return time.Duration(float64(queued+1) * float64(e.duration) / float64(running)), true
}

// RetryAfter returns the time after which a refused caller can expect to be admitted: the time by which
// its wait exceeded the allowed time, plus jitter. The random number is from [0, 1).
func RetryAfter(wait, allowed time.Duration, random float64) time.Duration {
	excess := min(max(wait-max(allowed, 0), minRetryAfter), maxRetryAfter)
	return excess + time.Duration(retryJitter*random*float64(excess))
}
