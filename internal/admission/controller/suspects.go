package controller

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// cancelledRunWindow is how long a cancelled request may go on running until its target notices, and so how long
// before or after a crash of the target its cancellation counts as an interruption by the crash. It is well below
// job.Policy.PreemptionDelay, so that a preempted item is known as a suspect before it continues.
const cancelledRunWindow = 400 * time.Millisecond

// cancelledRun is a request that was cancelled while it ran on a target.
type cancelledRun struct {
	fingerprint uint64
	at          time.Time
}

// recordCrash records that a target failed while running a request, see admission.EndInterrupted. The requests that
// were cancelled there shortly before may have caused it, since a target runs a cancelled request until it notices.
func (c *Controller) recordCrash(t *targetState, fingerprint uint64, now time.Time) {
	t.lastCrash = now
	c.addCrash(t, fingerprint, now)
	c.suspectCancelled(t, now)
}

// recordCancellation records that a request was cancelled while it ran on a target.
func (c *Controller) recordCancellation(t *targetState, fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	t.cancelledRuns = slices.DeleteFunc(t.cancelledRuns, func(r cancelledRun) bool { return now.Sub(r.at) > cancelledRunWindow })
	t.cancelledRuns = append(t.cancelledRuns, cancelledRun{fingerprint, now})
	if now.Sub(t.lastCrash) <= cancelledRunWindow {
		c.suspectCancelled(t, now)
	}
}

// suspectCancelled makes the requests suspects that were cancelled on a target around the time of its crash. Those that are
// suspects already are not quarantined for it: another suspect may have run there since and crashed it.
func (c *Controller) suspectCancelled(t *targetState, now time.Time) {
	runs := t.cancelledRuns
	t.cancelledRuns = nil
	var suspected []uint64
	for _, r := range runs {
		if now.Sub(r.at) > cancelledRunWindow || c.quarantine.Status(r.fingerprint) != quarantine.Clear {
			continue
		}
		c.addCrash(t, r.fingerprint, now)
		if c.quarantine.Status(r.fingerprint) == quarantine.Suspect {
			suspected = append(suspected, r.fingerprint)
		}
	}
	if len(suspected) == 0 {
		return
	}
	c.config.Log.Info().Str("target", t.settings.Name).Uints64("fingerprints", suspected).
		Msg("target broke off shortly after these requests were cancelled there; they run apart from others until one completes")
	c.sendToBatch(batchslots.ToBatch{Suspected: &batchslots.Suspected{Fingerprints: suspected}})
}

func (c *Controller) addCrash(t *targetState, fingerprint uint64, now time.Time) {
	before := c.quarantine.Status(fingerprint)
	if c.quarantine.RecordCrash(now, fingerprint, t.settings.Name) == quarantine.Quarantined && before != quarantine.Quarantined {
		c.announceQuarantine(fingerprint)
	}
}

// announceQuarantine logs that a fingerprint has been quarantined and notifies the batch process.
func (c *Controller) announceQuarantine(fingerprint uint64) {
	metricQuarantined.Inc()
	c.config.Log.Warn().Uint64("fingerprint", fingerprint).
		Strs("targets", c.quarantine.Targets(fingerprint)).Msg("request quarantined; requests with this fingerprint will be refused")
	c.sendToBatch(batchslots.ToBatch{Quarantined: &batchslots.Quarantined{Fingerprints: []uint64{fingerprint}}})
}

// refuseWaitingQuarantined refuses the queued requests that have been quarantined since they were queued.
func (c *Controller) refuseWaitingQuarantined(p *pool) {
	for p.queue.Len() > 0 {
		var refusal *verdict.Error
		item := p.queue.Next(func(item *dispatch.Item) bool {
			refusal = c.refuseQuarantined(item.Value.(*waiter).request)
			return refusal != nil
		})
		if item == nil {
			return
		}
		w := item.Value.(*waiter)
		c.releaseSuspectTarget(w)
		w.result <- acquireResult{err: refusal}
	}
}

// pickSuspectTarget returns the only target on which a suspect may run, or nil if it may not run there now.
//
// All VMs send a fingerprint to the same target, whose owner lets one suspect at a time run there. So two suspects
// never run on a target together, and copies of a request received by several VMs do not crash several targets.
func (c *Controller) pickSuspectTarget(w *waiter, now time.Time) *targetState {
	t := c.highestRankedTarget(w, now)
	if w.suspectTarget != t {
		c.releaseSuspectTarget(w)
	}
	if t == nil {
		return nil
	}
	if t.holder.Suspect == 0 {
		t.holder.Suspect = w.request.Fingerprint
		w.suspectTarget = t
		c.requestFrom(t, 1, true, now)
	}
	if w.suspectTarget != t || t.suspectRunning || !t.holder.MayRunSuspect(now, w.request.Fingerprint) {
		return nil
	}
	return t
}

// highestRankedTarget returns the target with the highest rank for the request's fingerprint among the healthy ones
// that the request has not been sent to and has not crashed, or nil.
func (c *Controller) highestRankedTarget(w *waiter, now time.Time) *targetState {
	crashed := c.quarantine.Targets(w.request.Fingerprint)
	var best *targetState
	var bestRank uint64
	for _, t := range w.pool.targets {
		name := t.settings.Name
		if w.pool.health.Share(now, name) == 0 || slices.Contains(w.request.Tried, name) || slices.Contains(crashed, name) {
			continue
		}
		if rank := dispatch.BlockRank(w.request.Fingerprint, name); best == nil || rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best
}

// releaseSuspectTarget releases a suspect's claim on its target unless it is running there.
func (c *Controller) releaseSuspectTarget(w *waiter) {
	if w.suspectTarget == nil || w.suspectTarget.suspectRunning {
		return
	}
	w.suspectTarget.holder.Suspect = 0
	w.suspectTarget = nil
}
