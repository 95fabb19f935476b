// Package drain plans the shutdown of a process that clients keep sending requests to until their cached addresses expire. A request
// that might not end before the process exits is refused while it can still run elsewhere: it would be cut off otherwise, and a client
// may not repeat each request that was cut off.
package drain

import "time"

const (
	// maxExitMargin is the time reserved for the exit of the process, and maxAnswerMargin that for writing the last responses.
	maxExitMargin   = 700 * time.Millisecond
	maxAnswerMargin = 100 * time.Millisecond
	// exitShare and answerShare bound the margins by their share of the grace period.
	exitShare   = 10
	answerShare = 50
)

// Plan holds the times of a shutdown.
type Plan struct {
	// Started is when the process was told to stop.
	Started time.Time
	// ListenUntil is when the process stops accepting connections: no client has a cached address then.
	ListenUntil time.Time
	// AnswerBy is when the last response has to be complete.
	AnswerBy time.Time
	// ExitBy is when what has not ended is cut off.
	ExitBy time.Time
}

// New plans the shutdown of a process that is killed after grace. Clients cache its address for cached at most.
func New(started time.Time, grace, cached time.Duration) Plan {
	exitBy := started.Add(grace - min(maxExitMargin, grace/exitShare))
	p := Plan{Started: started, ListenUntil: started.Add(cached), AnswerBy: exitBy.Add(-min(maxAnswerMargin, grace/answerShare)), ExitBy: exitBy}
	if p.ListenUntil.After(exitBy) {
		p.ListenUntil = exitBy
	}
	return p
}

// Admits reports whether a request that may take limit is sure to end before the process exits.
func (p Plan) Admits(now time.Time, limit time.Duration) bool {
	return !now.After(p.LatestStart(limit))
}

// LatestStart returns the latest time at which a request that may take limit is admitted.
func (p Plan) LatestStart(limit time.Duration) time.Time { return p.AnswerBy.Add(-limit) }
