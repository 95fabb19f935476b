package dispatch

import (
	"math"
	"time"
)

const (
	// durationWeight is the weight of a new observation in the moving averages.
	durationWeight = 0.1
	// staleAfter is the age at which the memory of first-token times has faded to 1/e, so that a
	// slow spell cannot refuse every later request.
	staleAfter = 10 * time.Second
	// minRetryAfter is the least time a refused caller is asked to wait.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time a refused caller is asked to wait, before jitter.
	maxRetryAfter = time.Minute
	// retryJitter spreads callers that were refused together, as a share of the wait.
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
	e.duration = average(e.duration, duration)
	if firstToken > 0 {
		e.firstToken = average(e.firstToken, firstToken)
		e.observed = now
	}
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(durationWeight*float64(observed-old))
}

// FirstToken returns the expected time from sending a request to the first byte of its answer.
func (e *Estimator) FirstToken(now time.Time) time.Duration {
	if e.firstToken == 0 {
		return 0
	}
	age := now.Sub(e.observed).Seconds() / staleAfter.Seconds()
	return time.Duration(float64(e.firstToken) * math.Exp(-age))
}

// Capacity is what a VM can run at once of one model or service.
type Capacity struct {
	// InUse is the number of running requests.
	InUse int
	// Obtainable is the number of further slots that can be had at once.
	Obtainable int
}

// Wait returns the expected wait for a slot behind so many requests. By Little's law, n running
// requests of mean duration d leave at a rate of n/d. It reports false while too little is known.
func (e *Estimator) Wait(ahead int, capacity Capacity) (time.Duration, bool) {
	behind := ahead - capacity.Obtainable
	if behind < 0 {
		return 0, true
	}
	running := capacity.InUse + capacity.Obtainable
	if e.duration == 0 || running <= 0 {
		return 0, false
	}
	return time.Duration(float64(behind+1) * float64(e.duration) / float64(running)), true
}

// RetryAfter returns when a refused caller may expect to be admitted: the time by which its wait
// exceeded the allowed time, with jitter. The random number is from [0, 1).
func RetryAfter(wait, allowed time.Duration, random float64) time.Duration {
	excess := min(max(wait-max(allowed, 0), minRetryAfter), maxRetryAfter)
	return excess + time.Duration(retryJitter*random*float64(excess))
}
