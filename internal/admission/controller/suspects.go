package controller

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// cut records that a target broke off a request.
func (c *Controller) cut(t *targetState, fingerprint uint64, now time.Time) {
	before := c.quarantine.Status(fingerprint)
	if c.quarantine.RecordCrash(now, fingerprint, t.settings.Name) == quarantine.Quarantined && before != quarantine.Quarantined {
		c.quarantined(fingerprint)
	}
}

// quarantined carries out a quarantine on this VM.
func (c *Controller) quarantined(fingerprint uint64) {
	metricQuarantined.Inc()
	c.config.Log.Warn().Uint64("fingerprint", fingerprint).
		Strs("targets", c.quarantine.Targets(fingerprint)).Msg("request quarantined")
	c.tellBatch(batchslots.ToBatch{Quarantined: &batchslots.Quarantined{Fingerprints: []uint64{fingerprint}}})
}

// refuseWaitingQuarantined refuses the waiting requests that have been quarantined since they came.
func (c *Controller) refuseWaitingQuarantined(p *pool) {
	for p.queue.Len() > 0 {
		item := p.queue.Next(func(item *dispatch.Item) bool {
			return c.quarantine.Status(item.Value.(*waiter).request.Fingerprint) == quarantine.Quarantined
		})
		if item == nil {
			return
		}
		w := item.Value.(*waiter)
		c.leaveSuspectTarget(w)
		w.granted <- admitted{err: c.refuseQuarantined(w.request.Fingerprint)}
	}
}

// placeSuspect returns the one target on which a suspect may run now, or nil.
//
// All VMs send one fingerprint to the same target, whose owner lets one suspect at a time run there. So
// two suspects never meet, and copies of one request that came through several VMs do not crash several targets.
func (c *Controller) placeSuspect(w *waiter, now time.Time) *targetState {
	t := c.suspectTargetFor(w, now)
	if w.suspectAt != t {
		c.leaveSuspectTarget(w)
	}
	if t == nil {
		return nil
	}
	if t.holder.Suspect == 0 {
		t.holder.Suspect = w.request.Fingerprint
		w.suspectAt = t
		c.askFor(t, 1, true, now)
	}
	if w.suspectAt != t || t.suspectRunning || !t.holder.MayRunSuspect(now, w.request.Fingerprint) {
		return nil
	}
	return t
}

// suspectTargetFor returns the target with the highest rank for the fingerprint, of those that it has not been sent to.
func (c *Controller) suspectTargetFor(w *waiter, now time.Time) *targetState {
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

// leaveSuspectTarget gives up a suspect's claim on its target.
func (c *Controller) leaveSuspectTarget(w *waiter) {
	if w.suspectAt == nil || w.suspectAt.suspectRunning {
		return
	}
	w.suspectAt.holder.Suspect = 0
	w.suspectAt = nil
}
