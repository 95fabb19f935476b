package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// release returns the slot of a granted request and records the attempt's outcome.
func (c *Controller) release(w *waiter, t *targetState, suspect bool, outcome admission.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t.holder.Release(now)
	c.recordOutcome(t, w.request.Content(), outcome, now)
	if suspect {
		t.suspectRunning = false
		c.releaseSuspectTarget(w)
		c.requestFrom(t, 0, false, now)
	}
	c.returnCredits(t, now)
	c.dispatchWaiting(t.pool, now)
	if t.ledger != nil {
		c.fillBatch(now)
	}
}

// recordOutcome updates health, estimates, quarantine and pacing with an attempt's outcome.
func (c *Controller) recordOutcome(t *targetState, content quarantine.Content, outcome admission.Outcome, now time.Time) {
	if signal, ok := healthSignals[outcome.End]; ok {
		t.pool.health.Observe(now, t.settings.Name, signal, outcome.FirstToken)
	}
	switch outcome.End {
	case admission.EndCompleted:
		t.pool.estimator.Observe(now, outcome.FirstToken, outcome.Duration)
		c.quarantine.RecordCompletion(content.Fingerprint)
		if t.pacer != nil {
			t.pacer.Observe(now, outcome.FirstToken, timePerToken(outcome))
		}
	case admission.EndRefused:
		c.reportRefusal(t, now)
	case admission.EndInterrupted:
		c.recordCrash(t, content.Fingerprint, now)
	case admission.EndCancelled:
		c.recordCancellation(t, content.Fingerprint, now)
	}
	c.attribute(t, content, outcome, now)
}

// attribute records what an attempt says about the parts of its prompt.
func (c *Controller) attribute(t *targetState, content quarantine.Content, outcome admission.Outcome, now time.Time) {
	switch {
	case outcome.End == admission.EndCompleted || outcome.FirstToken > 0:
		c.quarantine.RecordBegun(now, content)
	case outcome.End == admission.EndInterrupted:
		c.quarantine.RecordUnanswered(now, now.Add(-outcome.Duration), content, t.settings.Name)
	}
}

var healthSignals = map[admission.End]target.Signal{
	admission.EndCompleted:   target.Succeeded,
	admission.EndUnreachable: target.Unreachable,
	admission.EndRefused:     target.Refused,
	admission.EndInterrupted: target.Interrupted,
	admission.EndTimeout:     target.TimedOut,
}

// timePerToken returns the mean time between tokens after the first, or zero if there were fewer than two.
func timePerToken(o admission.Outcome) time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}
