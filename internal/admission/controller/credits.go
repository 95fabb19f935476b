package controller

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/target"
)

// requestLocal requests credits from this VM's own ledger, without a call.
func (c *Controller) requestLocal(t *targetState, waiting int, now time.Time) {
	request := t.holder.NextRequest(now, waiting)
	request.Holder, request.Session = c.config.VM, c.session
	response, revoke := t.ledger.HandleRequest(now, request)
	t.holder.HandleResponse(request.Sequence, response)
	if response.Granted > request.Held {
		c.protectFirstToken(t, now)
	}
	c.revokeBatchSlots(revoke)
	c.recallUnused(t, now)
}

// unmetCredits is the number of credits that this VM has requested from its own ledger and not received.
func (c *Controller) unmetCredits(t *targetState) int {
	if t.ledger == nil {
		return 0
	}
	return t.ledger.UnmetDemand(c.config.VM)
}

// collectCredits takes credits that have become free since they were requested from this VM's own ledgers.
func (c *Controller) collectCredits(p *pool, now time.Time) {
	for _, t := range p.active {
		if unmet := c.unmetCredits(t); unmet > 0 {
			c.requestLocal(t, unmet, now)
		}
	}
}

// withdrawUnusedRequests withdraws requests to this VM's own ledgers that no request waits for any more, so that
// batch work can use the slots.
func (c *Controller) withdrawUnusedRequests(p *pool, now time.Time) {
	for _, t := range p.active {
		if c.unmetCredits(t) > 0 {
			c.requestLocal(t, 0, now)
			t.notifyLedgerChange()
		}
	}
}

// requestRemote requests credits from a target's owner. The response is processed asynchronously.
//
// With hold, an owner that cannot grant anything holds the request for up to Config.HoldTimeout until a credit
// becomes free.
func (c *Controller) requestRemote(t *targetState, waiting int, hold bool, now time.Time) {
	t.holder.ReturnImmediately = c.hasSpareCreditCalls(now)
	if !t.hasPendingRequest() {
		t.extendUntil = now.Add(extendWindow)
	}
	request := t.holder.NextRequest(now, waiting)
	t.requestedCredits, t.requestedAt = waiting, now
	if waiting > 0 {
		time.AfterFunc(c.config.HedgeDelay, func() { c.requestElsewhere(t.pool) })
	}
	message := CreditsRequest{Session: c.session, Targets: []TargetRequest{t.newRequest(request)}, Hold: hold}
	go c.sendRequest(t.ownership.Owner.EntryPeers, message, []*targetState{t})
}

// newRequest encodes a credit request, including whether the target has refused a request of this VM.
func (t *targetState) newRequest(request target.CreditRequest) TargetRequest {
	return newTargetRequest(t.settings.Name, t.refusalPending, request)
}

// reportRefusal reports to the owner that the target has refused a request, so that the other entries stop using
// it too.
func (c *Controller) reportRefusal(t *targetState, now time.Time) {
	t.refusalPending = t.ledger == nil
	if t.refusalPending && !t.holder.RequestPending() {
		c.requestFrom(t, 0, false, now)
	}
}

// requestElsewhere requests credits from other owners after HedgeDelay without a response: the first owner may be
// down or out of slots.
func (c *Controller) requestElsewhere(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.queue.Len() > 0 {
		c.dispatchWaiting(p, time.Now())
	}
}

// sendRequest sends a credit request to an owner and applies its response.
func (c *Controller) sendRequest(owner string, message CreditsRequest, targets []*targetState) {
	c.creditCalls.Allow()
	response, err := c.callOwner(owner, message)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err == nil && len(response.Targets) != len(targets) {
		err = errors.New("credit response has a different number of targets than the request")
	}
	if err != nil {
		metricCreditFailures.Inc()
		c.config.Log.Debug().Err(err).Str("owner", owner).Msg("credit call to the target owner failed; credits are kept until they expire")
	}
	for i, t := range targets {
		t.applyResponse(message.Targets[i].Sequence, err, response.Targets, i)
		if err == nil && response.Targets[i].Refuses {
			t.pool.health.Observe(now, t.settings.Name, target.Refused, 0)
		}
	}
	if err != nil {
		// The next tick retries. A retry here would loop while the owner is unreachable.
		return
	}
	for i, t := range targets {
		c.requestRemainder(t, message.Targets[i], response.Targets[i], now)
		c.dispatchWaiting(t.pool, now)
		if t.pool.queue.Len() == 0 {
			c.returnCredits(t, now)
		}
	}
}

// requestRemainder requests the missing credits immediately if an owner granted only some of them. That owner is
// already freeing slots for the rest; another owner would have to start over.
func (c *Controller) requestRemainder(t *targetState, request TargetRequest, response TargetResponse, now time.Time) {
	remainder := request.Want - response.Granted
	if response.Stale || response.NotOwner || response.Granted <= request.Held || remainder <= 0 || t.ledger != nil {
		return
	}
	c.grantWaiting(t.pool, now)
	if remainder = min(remainder, t.pool.queue.Len()); remainder > 0 {
		c.requestFrom(t, remainder, false, now)
	}
}

// applyResponse applies the i-th response, or the failure of the call.
func (t *targetState) applyResponse(sequence uint64, err error, responses []TargetResponse, i int) {
	latest := false
	if err != nil || responses[i].NotOwner {
		latest = t.holder.RequestFailed(sequence)
		t.retryAt = time.Now().Add(ownerRetryDelay)
	} else {
		latest = t.holder.HandleResponse(sequence, responses[i].creditResponse())
		if latest && t.requestedCredits > 0 && !responses[i].Stale && responses[i].Granted <= t.holder.InUse() {
			// The owner counts unused credits of other VMs as obtainable, but these VMs might not return them.
			// Without this, the owner would get a request every round trip.
			t.holder.Obtainable = 0
		}
	}
	if latest {
		t.requestedCredits = 0
		t.refusalPending = t.refusalPending && err != nil
	}
}

// canExtendRequest reports whether the pending request may be replaced by one for more credits.
func (t *targetState) canExtendRequest(now time.Time) bool {
	return t.hasOwner && t.ledger == nil && t.hasPendingRequest() && !now.After(t.extendUntil)
}

// hasPendingRequest reports whether a credit request for waiting requests is pending. Renewals do not count: they
// can be replaced.
func (t *targetState) hasPendingRequest() bool {
	return t.holder.RequestPending() && t.requestedCredits > 0
}

func (c *Controller) callOwner(owner string, message CreditsRequest) (CreditsResponse, error) {
	var response CreditsResponse
	address, err := netip.ParseAddrPort(owner)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	metricCreditCalls.Inc()
	err = c.config.Caller.Call(ctx, address, MethodCredits, message, &response)
	return response, err
}

// renew renews the credits of all active targets with one call to each owner.
func (c *Controller) renew(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := make(map[string]*CreditsRequest)
	targets := make(map[string][]*targetState)
	for _, name := range sortedNames(c.targets) {
		t := c.targets[name]
		switch {
		case !t.hasOwner || t.holder.RequestPending():
		case t.ledger != nil:
			c.requestLocal(t, t.pool.waitingPerTarget(), now)
		case t.active || t.holder.Limit() > 0 || t.holder.Suspect != 0:
			owner := t.ownership.Owner.EntryPeers
			if messages[owner] == nil {
				messages[owner] = &CreditsRequest{Session: c.session}
			}
			t.holder.ReturnImmediately = c.hasSpareCreditCalls(now)
			messages[owner].Targets = append(messages[owner].Targets, t.newRequest(t.holder.NextRequest(now, t.pool.waitingPerTarget())))
			targets[owner] = append(targets[owner], t)
		}
	}
	for owner, message := range messages {
		go c.sendRequest(owner, *message, targets[owner])
	}
}

// returnCredits returns unused credits immediately if other VMs wait for them or the credit call budget allows
// it. Otherwise they are returned by the next renewal that finds them above the recent peak usage.
func (c *Controller) returnCredits(t *targetState, now time.Time) {
	waiting := t.pool.waitingPerTarget()
	switch {
	case !t.hasOwner || t.holder.RequestPending():
	case t.ledger != nil:
		c.requestLocal(t, waiting, now)
		t.notifyLedgerChange()
	case t.holder.Excess() > 0:
		c.requestRemote(t, waiting, false, now)
	case waiting == 0 && t.holder.Free(now) > 0 && (t.holder.Scarce || c.hasSpareCreditCalls(now)):
		c.requestRemote(t, 0, false, now)
	}
}

// waitingPerTarget is the number of waiting requests per active target, rounded up.
func (p *pool) waitingPerTarget() int {
	if len(p.active) == 0 {
		return p.queue.Len()
	}
	return (p.queue.Len() + len(p.active) - 1) / len(p.active)
}

// hasSpareCreditCalls reports whether the credit call budget allows returning credits that may soon be needed again.
func (c *Controller) hasSpareCreditCalls(now time.Time) bool {
	return c.creditCalls.TokensAt(now) > float64(c.creditCalls.Burst())/2
}
