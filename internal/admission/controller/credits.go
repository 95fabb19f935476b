package controller

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/target"
)

// askLocal renews the credits of a target that this VM owns, with no message.
func (c *Controller) askLocal(t *targetState, waiting int, now time.Time) {
	ask := t.holder.NextRequest(now, waiting)
	ask.Holder, ask.Session = c.config.VM, c.session
	answer, revoke := t.ledger.HandleRequest(now, ask)
	t.holder.HandleResponse(ask.Sequence, answer)
	if answer.Granted > ask.Held {
		c.protectFirstToken(t, now)
	}
	c.revoke(revoke)
	c.recallIdle(t, now)
}

// unmet is the number of credits that waiting requests of this VM want from its own ledger.
func (c *Controller) unmet(t *targetState) int {
	if t.ledger == nil {
		return 0
	}
	return t.ledger.UnmetDemand(c.config.VM)
}

// collectCredits takes the credits that have become free for earlier asks to this VM's own ledgers.
func (c *Controller) collectCredits(p *pool, now time.Time) {
	for _, t := range p.active {
		if unmet := c.unmet(t); unmet > 0 {
			c.askLocal(t, unmet, now)
		}
	}
}

// withdrawUnusedAsks takes back what nobody waits for any more, so that batch work can have the slots.
func (c *Controller) withdrawUnusedAsks(p *pool, now time.Time) {
	for _, t := range p.active {
		if c.unmet(t) > 0 {
			c.askLocal(t, 0, now)
			t.notify()
		}
	}
}

// askRemote asks a target's owner for credits and goes on when the answer comes.
//
// With hold, an owner that can grant nothing keeps the ask for a while, until a credit becomes free.
func (c *Controller) askRemote(t *targetState, waiting int, hold bool, now time.Time) {
	t.holder.ReturnImmediately = c.hasSpareExchanges(now)
	if !t.isWaiting() {
		t.joinUntil = now.Add(askJoin)
	}
	ask := t.holder.NextRequest(now, waiting)
	t.asked, t.askedAt = waiting, now
	if waiting > 0 {
		time.AfterFunc(c.config.AskTimeout, func() { c.askElsewhere(t.pool) })
	}
	message := CreditsAsk{Session: c.session, Targets: []TargetAsk{t.newAsk(ask)}, Hold: hold}
	go c.call(t.owner.Owner.EntryPeers, message, []*targetState{t})
}

// newAsk puts an ask into a message, with the news that the target has refused a request of this VM.
func (t *targetState) newAsk(ask target.CreditRequest) TargetAsk {
	return newTargetAsk(t.settings.Name, t.refused, ask)
}

// tellRefused tells the owner that the target has refused a request, so that the other entries stop sending work too.
func (c *Controller) tellRefused(t *targetState, now time.Time) {
	t.refused = t.ledger == nil
	if t.refused && !t.holder.RequestPending() {
		c.askFor(t, 0, false, now)
	}
}

// askElsewhere asks other owners when one has not answered for a while: it may be gone, or have no slot.
func (c *Controller) askElsewhere(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.queue.Len() > 0 {
		c.dispatchWaiting(p, time.Now())
	}
}

// call sends asks to an owner and applies its answers.
func (c *Controller) call(owner string, message CreditsAsk, targets []*targetState) {
	c.exchanges.Allow()
	answer, err := c.callOwner(owner, message)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err == nil && len(answer.Targets) != len(targets) {
		err = errors.New("answer does not match the asks")
	}
	if err != nil {
		metricCreditFailures.Inc()
		c.config.Log.Debug().Err(err).Str("owner", owner).Msg("credits could not be renewed")
	}
	for i, t := range targets {
		t.apply(message.Targets[i].Sequence, err, answer.Targets, i)
		if err == nil && answer.Targets[i].Refuses {
			t.pool.health.Observe(now, t.settings.Name, target.Refused, 0)
		}
	}
	if err != nil {
		// The next tick asks again; asking here would loop while the owner is away.
		return
	}
	for i, t := range targets {
		c.askForRest(t, message.Targets[i], answer.Targets[i], now)
		c.dispatchWaiting(t.pool, now)
		if t.pool.queue.Len() == 0 {
			c.returnCredits(t, now)
		}
	}
}

// askForRest asks again at once when an owner granted a part of what was asked for: it is making room for the rest,
// which would take another owner as long again.
func (c *Controller) askForRest(t *targetState, ask TargetAsk, answer TargetAnswer, now time.Time) {
	rest := ask.Want - answer.Granted
	if answer.Stale || answer.NotOwner || answer.Granted <= ask.Held || rest <= 0 || t.ledger != nil {
		return
	}
	c.placeWaiting(t.pool, now)
	if rest = min(rest, t.pool.queue.Len()); rest > 0 {
		c.askFor(t, rest, false, now)
	}
}

// apply applies the i-th answer, or the failure of the call.
func (t *targetState) apply(sequence uint64, err error, answers []TargetAnswer, i int) {
	latest := false
	if err != nil || answers[i].NotOwner {
		latest = t.holder.RequestFailed(sequence)
		t.retryAt = time.Now().Add(askPause)
	} else {
		latest = t.holder.HandleResponse(sequence, answers[i].answer())
		if latest && t.asked > 0 && !answers[i].Stale && answers[i].Granted <= t.holder.InUse() {
			// What others hold unused may not come back: without this, the owner would be asked once a round trip.
			t.holder.Obtainable = 0
		}
	}
	if latest {
		t.asked = 0
		t.refused = t.refused && err != nil
	}
}

// canJoin reports whether the ask under way may be replaced by one for more credits.
func (t *targetState) canJoin(now time.Time) bool {
	return t.owned && t.ledger == nil && t.isWaiting() && !now.After(t.joinUntil)
}

// isWaiting reports whether an ask for waiting requests is under way. A renewal does not count: it can be replaced.
func (t *targetState) isWaiting() bool { return t.holder.RequestPending() && t.asked > 0 }

func (c *Controller) callOwner(owner string, message CreditsAsk) (CreditsAnswer, error) {
	var answer CreditsAnswer
	address, err := netip.ParseAddrPort(owner)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	metricCreditCalls.Inc()
	err = c.config.Caller.Call(ctx, address, MethodCredits, message, &answer)
	return answer, err
}

// renew renews the credits of all chosen targets: one message to each owner.
func (c *Controller) renew(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asks := make(map[string]*CreditsAsk)
	asked := make(map[string][]*targetState)
	for _, name := range sortedNames(c.targets) {
		t := c.targets[name]
		switch {
		case !t.owned || t.holder.RequestPending():
		case t.ledger != nil:
			c.askLocal(t, t.pool.waitingEach(), now)
		case t.chosen || t.holder.Limit() > 0 || t.holder.Suspect != 0:
			owner := t.owner.Owner.EntryPeers
			if asks[owner] == nil {
				asks[owner] = &CreditsAsk{Session: c.session}
			}
			t.holder.ReturnImmediately = c.hasSpareExchanges(now)
			asks[owner].Targets = append(asks[owner].Targets, t.newAsk(t.holder.NextRequest(now, t.pool.waitingEach())))
			asked[owner] = append(asked[owner], t)
		}
	}
	for owner, message := range asks {
		go c.call(owner, *message, asked[owner])
	}
}

// returnCredits gives unused credits back at once when others wait for them, or when the budget of
// messages allows it. Otherwise the next renewal gives them back.
func (c *Controller) returnCredits(t *targetState, now time.Time) {
	waiting := t.pool.waitingEach()
	switch {
	case !t.owned || t.holder.RequestPending():
	case t.ledger != nil:
		c.askLocal(t, waiting, now)
		t.notify()
	case t.holder.Excess() > 0:
		c.askRemote(t, waiting, false, now)
	case waiting == 0 && t.holder.Free(now) > 0 && (t.holder.Scarce || c.hasSpareExchanges(now)):
		c.askRemote(t, 0, false, now)
	}
}

// waitingEach is the number of waiting requests for each target, rounded up.
func (p *pool) waitingEach() int {
	if len(p.active) == 0 {
		return p.queue.Len()
	}
	return (p.queue.Len() + len(p.active) - 1) / len(p.active)
}

// hasSpareExchanges reports whether the VM exchanges few enough messages to give up credits that it will soon need again.
func (c *Controller) hasSpareExchanges(now time.Time) bool {
	return c.exchanges.TokensAt(now) > float64(c.exchanges.Burst())/2
}
