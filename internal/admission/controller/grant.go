package controller

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// dispatchWaiting grants slots to as many waiting requests as credits allow and requests credits for the rest.
func (c *Controller) dispatchWaiting(p *pool, now time.Time) {
	c.refuseWaitingQuarantined(p)
	if p.queue.Len() > 0 {
		c.collectCredits(p, now)
	}
	c.grantWaiting(p, now)
	if p.queue.Len() == 0 {
		c.withdrawUnusedRequests(p, now)
		return
	}
	c.requestCredits(p, now)
	// Requests to this VM's own ledgers are granted synchronously.
	c.grantWaiting(p, now)
}

func (c *Controller) grantWaiting(p *pool, now time.Time) {
	for p.queue.Len() > 0 {
		candidates := c.candidates(p, now)
		if !anyFree(candidates) {
			return
		}
		var chosen *targetState
		item := p.queue.Next(func(item *dispatch.Item) bool {
			chosen = c.pickTarget(item.Value.(*waiter), candidates, now)
			return chosen != nil
		})
		if item == nil {
			return
		}
		c.grant(item.Value.(*waiter), chosen, now)
	}
}

// candidate describes a target for package dispatch.
func (c *Controller) candidate(t *targetState, now time.Time) dispatch.Candidate {
	share := t.pool.health.Share(now, t.settings.Name)
	return dispatch.Candidate{
		Name:    t.settings.Name,
		Local:   t.settings.AvailabilityZone == c.config.AvailabilityZone,
		Healthy: share > 0,
		Share:   share,
		Free:    min(t.holder.Free(now), t.remainingShare(share)),
		InUse:   t.holder.InUse(),
		Slots:   t.settings.Slots,
	}
}

// remainingShare is the number of further requests that the target's health share allows. The share allows at
// least one request in total.
func (t *targetState) remainingShare(share float64) int {
	allowed := max(1, int(share*float64(t.settings.Slots)))
	return max(0, allowed-t.holder.InUse())
}

// candidates describes the active targets of a pool, in the order of pool.active.
func (c *Controller) candidates(p *pool, now time.Time) []dispatch.Candidate {
	candidates := make([]dispatch.Candidate, len(p.active))
	for i, t := range p.active {
		candidates[i] = c.candidate(t, now)
	}
	return candidates
}

func anyFree(candidates []dispatch.Candidate) bool {
	for _, candidate := range candidates {
		if candidate.Healthy && candidate.Free > 0 {
			return true
		}
	}
	return false
}

// pickTarget returns the target that a request can be sent to now, or nil.
func (c *Controller) pickTarget(w *waiter, candidates []dispatch.Candidate, now time.Time) *targetState {
	if c.quarantine.Status(w.request.Fingerprint) == quarantine.Suspect {
		return c.pickSuspectTarget(w, now)
	}
	for {
		i, ok := c.chooser.Pick(w.query(), candidates, rand.IntN)
		if !ok {
			return nil
		}
		if t := w.pool.active[i]; t.holder.Free(now) > 0 {
			return t
		}
		// A credit request for a suspect has returned the target's unused credits since the candidates were computed.
		candidates[i].Free = 0
	}
}

// query describes the request for package dispatch.
func (w *waiter) query() dispatch.Query {
	return dispatch.Query{Tried: w.request.Tried, PrefixBlocks: w.request.PrefixBlocks}
}

func (c *Controller) grant(w *waiter, t *targetState, now time.Time) {
	t.holder.Acquire(now)
	suspect := w.suspectTarget == t
	if suspect {
		t.suspectRunning = true
	}
	c.prefixes.Store(t.settings.Name, w.request.PrefixBlocks...)
	waited := max(0, now.Sub(w.item.Enqueued))
	var once sync.Once
	grant := &admission.Grant{Target: t.settings, Waited: waited, Reason: w.reason(t, waited)}
	grant.Release = func(outcome admission.Outcome) {
		once.Do(func() { c.release(w, t, suspect, outcome) })
	}
	w.result <- acquireResult{grant: grant}
}

func (w *waiter) reason(t *targetState, waited time.Duration) string {
	text := "a slot was free at once"
	if waited > 0 {
		text = fmt.Sprintf("waited %s for a slot behind %d requests", waited.Round(time.Microsecond), w.initialPosition)
	}
	if w.suspectTarget == t {
		return text + fmt.Sprintf("; runs on %s apart from other suspects, because a target broke off while running it", t.settings.Name)
	}
	return text + fmt.Sprintf("; %s was the best of the targets with a free slot by cached prefix, load and availability zone", t.settings.Name)
}
