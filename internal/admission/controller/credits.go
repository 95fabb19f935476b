package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// maxPlanned bounds the waiting requests for which one pass asks for credits.
	maxPlanned = 64
	// maxQueuedAsks bounds the asks of one pool that owners without a free slot hold.
	maxQueuedAsks = 3
)

// askLocal renews the credits of a target that this VM owns, with no message.
func (c *Controller) askLocal(t *targetState, waiting int, now time.Time) {
	ask := t.holder.Ask(now, waiting)
	ask.Holder, ask.Session = c.config.VM, c.session
	answer, revoke := t.ledger.Request(now, ask)
	t.holder.Answered(ask.Sequence, answer)
	c.revoke(revoke)
}

// unmet is the number of credits that waiting requests of this VM want from its own ledger.
func (c *Controller) unmet(t *targetState) int {
	if t.ledger == nil {
		return 0
	}
	return t.ledger.Unmet(c.config.VM)
}

// collect takes the credits that have become free for earlier asks to this VM's own ledgers.
func (c *Controller) collect(p *pool, now time.Time) {
	for _, t := range p.active {
		if unmet := c.unmet(t); unmet > 0 {
			c.askLocal(t, unmet, now)
		}
	}
}

// dropWants takes back what nobody waits for any more, so that batch work can have the slots.
func (c *Controller) dropWants(p *pool, now time.Time) {
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
	t.holder.Immediate = c.hasSpareExchanges(now)
	ask := t.holder.Ask(now, waiting)
	t.asked, t.askedAt = waiting, now
	if waiting > 0 {
		time.AfterFunc(c.config.AskPatience, func() { c.askElsewhere(t.pool) })
	}
	message := CreditsAsk{Session: c.session, Targets: []TargetAsk{t.newAsk(ask)}, Hold: hold}
	go c.call(t.owner.Owner.EntryPeers, message, []*targetState{t})
}

// newAsk puts an ask into a message, with the news that the target has refused a request of this VM.
func (t *targetState) newAsk(ask target.Ask) TargetAsk {
	return newTargetAsk(t.settings.Name, t.refused, ask)
}

// tellRefused tells the owner that the target has refused a request, so that the other entries stop sending work too.
func (c *Controller) tellRefused(t *targetState, now time.Time) {
	t.refused = t.ledger == nil
	if t.refused && !t.holder.Asking() {
		c.askFor(t, 0, now)
	}
}

// askElsewhere asks other owners when one has not answered for a while: it may be gone, or have no slot.
func (c *Controller) askElsewhere(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.queue.Len() > 0 {
		c.pump(p, time.Now())
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
	for _, t := range targets {
		c.pump(t.pool, now)
		if t.pool.queue.Len() == 0 {
			c.returnCredits(t, now)
		}
	}
}

// apply applies the i-th answer, or the failure of the call.
func (t *targetState) apply(sequence uint64, err error, answers []TargetAnswer, i int) {
	latest := false
	if err != nil || answers[i].NotOwner {
		latest = t.holder.Failed(sequence)
	} else {
		latest = t.holder.Answered(sequence, answers[i].answer())
	}
	if latest {
		t.asked = 0
		t.refused = t.refused && err != nil
	}
}

// isWaiting reports whether an ask for waiting requests is under way. A renewal does not count: it can be replaced.
func (t *targetState) isWaiting() bool { return t.holder.Asking() && t.asked > 0 }

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
		case !t.owned || t.holder.Asking():
		case t.ledger != nil:
			c.askLocal(t, t.pool.waitingEach(), now)
		case t.chosen || t.holder.Limit() > 0 || t.holder.Suspect != 0:
			owner := t.owner.Owner.EntryPeers
			if asks[owner] == nil {
				asks[owner] = &CreditsAsk{Session: c.session}
			}
			t.holder.Immediate = c.hasSpareExchanges(now)
			asks[owner].Targets = append(asks[owner].Targets, t.newAsk(t.holder.Ask(now, t.pool.waitingEach())))
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
	case !t.owned || t.holder.Asking():
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

// requestCredits asks owners for credits for the waiting requests of a pool: first where slots can
// be had at once, and else where one is freed soonest.
func (c *Controller) requestCredits(p *pool, now time.Time) {
	c.askForLanes(p, now)
	missing := min(p.queue.Len(), maxPlanned) - c.pendingAsks(p, now.Add(-c.config.AskPatience))
	if missing <= 0 {
		return
	}
	plan, unmet := c.planAsks(p, missing, now)
	for i, count := range plan {
		if count > 0 {
			c.askFor(p.active[i], c.unmet(p.active[i])+count, now)
		}
	}
	if unmet > 0 {
		c.waitForCredits(p, unmet, now)
	}
}

// askForLanes asks for a credit on each target where a suspect waits to run.
func (c *Controller) askForLanes(p *pool, now time.Time) {
	for _, t := range p.targets {
		if t.holder.Suspect != 0 && !t.suspectRunning && t.holder.Free(now) == 0 {
			c.askFor(t, 1, now)
		}
	}
}

// pendingAsks is the number of credits asked for of other VMs since a moment, and of this VM.
func (c *Controller) pendingAsks(p *pool, since time.Time) int {
	total := 0
	for _, t := range p.active {
		if t.ledger != nil {
			total += t.ledger.Coming(c.config.VM)
		}
		if t.isWaiting() && t.askedAt.After(since) {
			total += t.asked
		}
	}
	return total
}

// planAsks chooses a target whose owner can grant a credit for each of the first waiting requests.
func (c *Controller) planAsks(p *pool, missing int, now time.Time) (plan []int, unmet int) {
	candidates := c.candidates(p, now)
	for i, t := range p.active {
		candidates[i].Free = 0
		if !t.isWaiting() {
			candidates[i].Free = min(t.obtainable(now), t.shareLeft(candidates[i].Share))
		}
	}
	plan = make([]int, len(candidates))
	for _, item := range p.queue.Head(missing) {
		i, ok := c.chooser.Pick(item.Value.(*waiter).query(), candidates, rand.IntN)
		if !ok {
			unmet++
			continue
		}
		plan[i]++
		candidates[i].Free--
		candidates[i].InUse++
	}
	return plan, unmet
}

// askFor asks a target's owner for credits unless an ask is under way.
func (c *Controller) askFor(t *targetState, count int, now time.Time) {
	switch {
	case !t.owned || t.isWaiting():
	case t.ledger != nil:
		c.askLocal(t, count, now)
	default:
		c.askRemote(t, count, false, now)
	}
}

// waitForCredits leaves asks with owners that have no free slot, and looks further afield.
func (c *Controller) waitForCredits(p *pool, unmet int, now time.Time) {
	c.widen(p, now)
	queued := 0
	for _, t := range p.active {
		if t.isWaiting() {
			queued++
		}
	}
	for _, i := range rand.Perm(len(p.active)) {
		t := p.active[i]
		if t.isWaiting() || p.health.Share(now, t.settings.Name) == 0 {
			continue
		}
		if t.ledger != nil {
			c.askLocal(t, max(unmet, c.unmet(t)), now)
			continue
		}
		if queued < maxQueuedAsks {
			c.askRemote(t, unmet, true, now)
			queued++
		}
	}
}

// handleCredits answers the asks of another entry.
func (c *Controller) handleCredits(ctx context.Context, from peer.Identity, decode func(any) error) (any, error) {
	var message CreditsAsk
	if err := decode(&message); err != nil {
		return nil, &peer.RemoteError{Code: "invalid_message", Message: err.Error()}
	}
	c.exchanges.Allow()
	answer := CreditsAnswer{Targets: make([]TargetAnswer, len(message.Targets))}
	deadline := time.NewTimer(c.config.AskWait)
	defer deadline.Stop()
	for {
		changed := c.answerAsks(from.VM, message, answer.Targets)
		if changed == nil {
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// answerAsks fills in the answers. When it is better to look again before sending them, it returns
// a channel that is closed at the next change.
func (c *Controller) answerAsks(holder string, message CreditsAsk, answers []TargetAnswer) (changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, ask := range message.Targets {
		t := c.targets[ask.Target]
		if t == nil || t.ledger == nil {
			answers[i] = TargetAnswer{NotOwner: true}
			continue
		}
		answer, revoke := t.ledger.Request(now, ask.ask(holder, message.Session))
		c.revoke(revoke)
		if ask.Refused {
			t.pool.health.Observe(now, ask.Target, target.Refused, 0)
		}
		if ask.Want <= ask.Held {
			// Credits may have been returned that others wait for.
			t.notify()
			c.fillBatch(now)
		}
		answers[i] = newTargetAnswer(t.pool.health.Refuses(ask.Target), answer)
		if isShort(ask, answer) && (message.Hold || t.ledger.Coming(holder) > 0) {
			changed = t.changed
		}
	}
	return changed
}

// isShort reports whether an ask got nothing of what it wants.
func isShort(ask TargetAsk, answer target.Answer) bool {
	if answer.Stale {
		return false
	}
	return answer.Granted <= ask.Held && ask.Want > ask.Held
}
