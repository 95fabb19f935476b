package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/target"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// waiter is a request in a queue.
type waiter struct {
	request admission.Request
	pool    *pool
	item    *dispatch.Item
	// granted receives the grant, or the refusal, at most once.
	granted chan admitted
	// suspectAt is the target at which a suspect request waits to run alone among suspects.
	suspectAt *targetState
	// position is the number of requests that were ahead at the start.
	position int
}

type admitted struct {
	grant *admission.Grant
	err   *verdict.Error
}

// Acquire implements admission.Admitter.
func (c *Controller) Acquire(ctx context.Context, request admission.Request) (*admission.Grant, error) {
	start := time.Now()
	w, refusal := c.enqueue(request, start)
	if refusal != nil {
		metricRefused.Inc()
		return nil, refusal
	}
	grant, refusal := c.await(ctx, w)
	if refusal != nil {
		metricRefused.Inc()
		return nil, refusal
	}
	metricGranted.Inc()
	metricWait.Update(grant.Waited.Seconds())
	return grant, nil
}

// enqueue puts a request into its queue and tries to place it at once. It refuses what cannot run in time.
func (c *Controller) enqueue(request admission.Request, now time.Time) (*waiter, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followRevision(now)
	p, refusal := c.check(request)
	if refusal != nil {
		return nil, refusal
	}
	if len(request.Tried) == 0 {
		c.retries.RecordFirstAttempt()
	}
	w := c.newWaiter(p, request, now)
	p.queue.Push(w.item)
	c.dispatchWaiting(p, now)
	if len(w.granted) > 0 {
		return w, nil
	}
	if p.isOwned() {
		return w, c.refuseIfLate(w, now)
	}
	// What the other owners can grant is learned by the asks that have just gone out.
	time.AfterFunc(c.config.AskTimeout, func() { c.refuseIfLateAfterWait(w) })
	return w, nil
}

func (c *Controller) check(request admission.Request) (*pool, *verdict.Error) {
	if c.draining {
		return nil, notRun(verdict.CodeLeaving, "this entry is leaving; ask another one", 0)
	}
	if !c.config.Settings.Fresh() {
		return nil, notRun(verdict.CodeStaleSettings, "this entry cannot confirm its settings; ask another one", 0)
	}
	if c.quarantine.Status(request.Fingerprint) == quarantine.Quarantined {
		return nil, c.refuseQuarantined(request.Fingerprint)
	}
	serves := servesModel(request.Model)
	if request.Service != "" {
		serves = servesService(request.Service)
	}
	p := c.pools[serves]
	if p == nil || len(p.active) == 0 || !p.hasTarget(request.Tried) {
		message := fmt.Sprintf("no target that can take the request serves %s now", serves)
		return nil, notRun(verdict.CodeNoTarget, message, jittered(noTargetRetry))
	}
	return p, nil
}

// noTargetRetry is when a caller should ask again after no target was available.
const noTargetRetry = 2 * time.Second

func jittered(d time.Duration) time.Duration { return dispatch.RetryAfter(d, 0, rand.Float64()) }

func notRun(code verdict.Code, message string, retryAfter time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

func (c *Controller) refuseQuarantined(fingerprint uint64) *verdict.Error {
	message := fmt.Sprintf("the request was running on targets %v when each of them broke off, so it is not run again",
		c.quarantine.Targets(fingerprint))
	return notRun(verdict.CodeQuarantined, message, 0)
}

// hasTarget reports whether a target that the request may go to is not leaving.
func (p *pool) hasTarget(tried []string) bool {
	for _, t := range p.targets {
		state, _ := p.health.State(t.settings.Name)
		if state == target.Leaving {
			continue
		}
		query := dispatch.Query{Tried: tried}
		if (dispatch.NotTried{}).Keep(query, dispatch.Candidate{Name: t.settings.Name}) {
			return true
		}
	}
	return false
}

func (c *Controller) newWaiter(p *pool, request admission.Request, now time.Time) *waiter {
	w := &waiter{request: request, pool: p, granted: make(chan admitted, 1)}
	weight := 1.0
	if client := c.config.Settings.Current().Clients[request.Client]; client != nil && client.Weight > 0 {
		weight = client.Weight
	}
	w.position = p.queue.Ahead(dispatch.Online, request.Client, weight, request.Deadline)
	w.item = &dispatch.Item{
		ID:       request.ID,
		Class:    dispatch.Online,
		Client:   request.Client,
		Weight:   weight,
		Deadline: request.Deadline,
		Enqueued: now,
		Value:    w,
	}
	return w
}

// isOwned reports whether this VM owns all targets, so that what they can grant is known without an ask.
func (p *pool) isOwned() bool {
	return !slices.ContainsFunc(p.active, func(t *targetState) bool { return t.ledger == nil })
}

// refuseIfLateAfterWait refuses a request that still waits and cannot meet its deadline.
func (c *Controller) refuseIfLateAfterWait(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.pool.queue.Contains(w.item) {
		return
	}
	if refusal := c.refuseIfLate(w, time.Now()); refusal != nil {
		w.granted <- admitted{err: refusal}
	}
}

// refuseIfLate takes a waiting request out of the queue when it cannot meet its deadline.
func (c *Controller) refuseIfLate(w *waiter, now time.Time) *verdict.Error {
	if w.request.Deadline.IsZero() {
		return nil
	}
	ahead := min(w.position, w.pool.queue.Len()-1)
	wait, known := w.pool.estimator.Wait(ahead, w.pool.capacity(now))
	if !known {
		return nil
	}
	allowed := w.request.Deadline.Sub(now) - w.pool.estimator.FirstToken(now)
	if wait <= allowed {
		return nil
	}
	c.abandon(w)
	message := fmt.Sprintf("%d requests wait ahead and a slot is expected in %s, after the deadline",
		ahead, wait.Round(time.Millisecond))
	return notRun(verdict.CodeOverloaded, message, dispatch.RetryAfter(wait, allowed, rand.Float64()))
}

// capacity counts the slots that this VM uses or could have at once.
func (p *pool) capacity(now time.Time) dispatch.Capacity {
	var capacity dispatch.Capacity
	for _, t := range p.active {
		if p.health.Share(now, t.settings.Name) == 0 {
			continue
		}
		capacity.InUse += t.holder.InUse()
		capacity.Obtainable += t.obtainable(now)
		if t.ledger != nil {
			capacity.Obtainable += t.ledger.PendingReclaim(t.owner.Owner.VM)
		}
	}
	return capacity
}

// hintLife is how long an owner's word on what it can grant is relied on.
const hintLife = 250 * time.Millisecond

func (t *targetState) hasFreshHint(now time.Time) bool {
	return t.ledger != nil || t.holder.ResponseAge(now) <= hintLife
}

// obtainable is the number of slots that a target could give soon, as far as is known.
func (t *targetState) obtainable(now time.Time) int {
	switch {
	case t.ledger != nil:
		return t.holder.Free(now) + t.ledger.Obtainable(t.owner.Owner.VM)
	case t.holder.Obtainable < 0:
		return t.settings.Slots
	default:
		return t.holder.Free(now) + t.holder.Obtainable
	}
}

// idle is the number of slots that nobody has, or zero when the owner's word on it is old.
func (t *targetState) idle(now time.Time) int {
	switch {
	case t.ledger != nil:
		return t.ledger.IdleSlots()
	case t.hasFreshHint(now):
		return t.holder.Idle
	default:
		return 0
	}
}

// plannableCredits is the number of credits to plan an ask for. An owner that could grant none a while ago is tried with one.
func (t *targetState) plannableCredits(now time.Time) int {
	if t.hasFreshHint(now) {
		return t.obtainable(now)
	}
	return max(1, t.obtainable(now))
}

// await waits for the grant, the deadline or the end of the context.
func (c *Controller) await(ctx context.Context, w *waiter) (*admission.Grant, *verdict.Error) {
	var deadline <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case a := <-w.granted:
		return a.grant, a.err
	case <-deadline:
		return c.giveUp(w, func() *verdict.Error {
			message := "no slot became free before the deadline"
			return notRun(verdict.CodeDeadlineExceeded, message, c.retryAfter(w))
		})
	case <-ctx.Done():
		return c.giveUp(w, func() *verdict.Error {
			return notRun(verdict.CodeCancelled, "the request was given up while it waited for a slot", 0)
		})
	}
}

// refuseLateWaiters refuses the waiting requests that could not get their first byte in time even if they ran now.
func (c *Controller) refuseLateWaiters(p *pool, now time.Time) {
	for _, item := range p.queue.PopExpired(now.Add(p.estimator.FirstToken(now))) {
		w := item.Value.(*waiter)
		c.leaveSuspectTarget(w)
		message := "the answer could not begin before the deadline"
		w.granted <- admitted{err: notRun(verdict.CodeDeadlineExceeded, message, c.retryAfter(w))}
	}
}

// giveUp takes a request out of its queue. A grant that came in the same moment is used nevertheless.
func (c *Controller) giveUp(w *waiter, reason func() *verdict.Error) (*admission.Grant, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandon(w) {
		return nil, reason()
	}
	a := <-w.granted
	return a.grant, a.err
}

// abandon reports whether the request was still waiting.
func (c *Controller) abandon(w *waiter) bool {
	c.leaveSuspectTarget(w)
	return w.pool.queue.Remove(w.item)
}

func (c *Controller) retryAfter(w *waiter) time.Duration {
	now := time.Now()
	wait, _ := w.pool.estimator.Wait(w.pool.queue.Len(), w.pool.capacity(now))
	return dispatch.RetryAfter(wait, 0, rand.Float64())
}
