package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// release takes a slot back and records how the attempt went.
func (c *Controller) release(w *waiter, t *targetState, suspect bool, outcome admission.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t.holder.Release(now)
	c.observe(t, w.request.Fingerprint, outcome, now)
	if suspect {
		t.suspectRunning = false
		c.leaveSuspectTarget(w)
		c.askFor(t, 0, false, now)
	}
	c.returnCredits(t, now)
	c.dispatchWaiting(t.pool, now)
	if t.ledger != nil {
		c.fillBatch(now)
	}
}

// observe feeds the end of an attempt to all that learns from it.
func (c *Controller) observe(t *targetState, fingerprint uint64, outcome admission.Outcome, now time.Time) {
	if signal, ok := signals[outcome.End]; ok {
		t.pool.health.Observe(now, t.settings.Name, signal, outcome.FirstToken)
	}
	switch outcome.End {
	case admission.EndCompleted:
		t.pool.estimator.Observe(now, outcome.FirstToken, outcome.Duration)
		c.quarantine.RecordCompletion(fingerprint)
		if t.pacer != nil {
			t.pacer.Observe(now, outcome.FirstToken, perToken(outcome))
		}
	case admission.EndRefused:
		c.tellRefused(t, now)
	case admission.EndCut:
		c.cut(t, fingerprint, now)
	}
}

var signals = map[admission.End]target.Signal{
	admission.EndCompleted:   target.Succeeded,
	admission.EndUnreachable: target.Unreachable,
	admission.EndRefused:     target.Refused,
	admission.EndCut:         target.ConnectionLost,
	admission.EndTimeout:     target.TimedOut,
}

// perToken returns the mean time between tokens.
func perToken(o admission.Outcome) time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}
