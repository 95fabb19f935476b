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

// waiter is a queued request.
type waiter struct {
	request admission.Request
	pool    *pool
	item    *dispatch.Item
	// result receives the grant or the refusal, at most once.
	result chan acquireResult
	// suspectTarget is the target that a suspect request has claimed, where no other suspect runs at the same time.
	suspectTarget *targetState
	// initialPosition is the number of requests that were ahead when this one was queued.
	initialPosition int
}

type acquireResult struct {
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

// enqueue queues a request and tries to grant it immediately. It refuses a request that cannot run in time.
func (c *Controller) enqueue(request admission.Request, now time.Time) (*waiter, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyNewRevision(now)
	p, refusal := c.checkAdmission(request)
	if refusal != nil {
		return nil, refusal
	}
	if len(request.Tried) == 0 {
		c.retries.RecordFirstAttempt()
	}
	w := c.newWaiter(p, request, now)
	p.queue.Push(w.item)
	c.dispatchWaiting(p, now)
	if len(w.result) > 0 {
		return w, nil
	}
	if p.ownsAllTargets() {
		return w, c.refuseIfLate(w, now)
	}
	// The credit requests just sent will show what the other owners can grant.
	time.AfterFunc(c.config.HedgeDelay, func() { c.refuseIfLateAfterWait(w) })
	return w, nil
}

func (c *Controller) checkAdmission(request admission.Request) (*pool, *verdict.Error) {
	if c.draining {
		return nil, notRun(verdict.CodeLeaving, "this entry is leaving; ask another one", 0)
	}
	if !c.config.Settings.Fresh() {
		return nil, notRun(verdict.CodeStaleSettings, "this entry cannot confirm its settings; ask another one", 0)
	}
	if refusal := c.refuseQuarantined(request); refusal != nil {
		return nil, refusal
	}
	key := modelPoolKey(request.Model)
	if request.Service != "" {
		key = servicePoolKey(request.Service)
	}
	p := c.pools[key]
	if p == nil || len(p.active) == 0 || !p.hasUsableTarget(request.Tried) {
		message := fmt.Sprintf("no target that can take the request serves %s now", key)
		return nil, notRun(verdict.CodeNoTarget, message, jittered(noTargetRetry))
	}
	return p, nil
}

// noTargetRetry is when a caller should retry after no target was available.
const noTargetRetry = 2 * time.Second

func jittered(d time.Duration) time.Duration { return dispatch.RetryAfter(d, 0, rand.Float64()) }

func notRun(code verdict.Code, message string, retryAfter time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message, RetryAfter: retryAfter}
}

// refuseQuarantined returns the refusal of a request that is quarantined, or nil.
func (c *Controller) refuseQuarantined(request admission.Request) *verdict.Error {
	status, remaining := c.quarantine.Check(time.Now(), request.Content())
	if status != quarantine.Quarantined {
		return nil
	}
	if remaining > 0 {
		return notRun(verdict.CodeQuarantined, "targets crash under requests that share a part of their prompt with this one, so it is not run", remaining)
	}
	message := fmt.Sprintf("the request was running on targets %v when each of them broke off, so it is not run again",
		c.quarantine.Targets(request.Fingerprint))
	return notRun(verdict.CodeQuarantined, message, 0)
}

// hasUsableTarget reports whether the pool has a target that is not leaving and has not been tried.
func (p *pool) hasUsableTarget(tried []string) bool {
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
	w := &waiter{request: request, pool: p, result: make(chan acquireResult, 1)}
	weight := 1.0
	if client := c.config.Settings.Current().Clients[request.Client]; client != nil && client.Weight > 0 {
		weight = client.Weight
	}
	w.initialPosition = p.queue.Ahead(dispatch.Online, request.Client, weight, request.Deadline)
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

// ownsAllTargets reports whether this VM owns all active targets, so that their free slots are known without a call.
func (p *pool) ownsAllTargets() bool {
	return !slices.ContainsFunc(p.active, func(t *targetState) bool { return t.ledger == nil })
}

// refuseIfLateAfterWait refuses a request that is still queued and cannot meet its deadline.
func (c *Controller) refuseIfLateAfterWait(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.pool.queue.Contains(w.item) {
		return
	}
	if refusal := c.refuseIfLate(w, time.Now()); refusal != nil {
		w.result <- acquireResult{err: refusal}
	}
}

// refuseIfLate removes a queued request that cannot meet its deadline and returns the refusal, or nil.
func (c *Controller) refuseIfLate(w *waiter, now time.Time) *verdict.Error {
	if w.request.Deadline.IsZero() {
		return nil
	}
	ahead := min(w.initialPosition, w.pool.queue.Len()-1)
	wait, known := w.pool.estimator.Wait(ahead, w.pool.capacity(now))
	if !known {
		return nil
	}
	allowed := w.request.Deadline.Sub(now) - w.pool.estimator.FirstToken(now)
	if wait <= allowed {
		return nil
	}
	c.dequeue(w)
	message := fmt.Sprintf("%d requests wait ahead and a slot is expected in %s, after the deadline",
		ahead, wait.Round(time.Millisecond))
	return notRun(verdict.CodeOverloaded, message, dispatch.RetryAfter(wait, allowed, rand.Float64()))
}

// capacity counts the slots that this VM uses or could obtain soon.
func (p *pool) capacity(now time.Time) dispatch.Capacity {
	var capacity dispatch.Capacity
	for _, t := range p.active {
		if p.health.Share(now, t.settings.Name) == 0 {
			continue
		}
		capacity.InUse += t.holder.InUse()
		capacity.Obtainable += t.obtainable(now)
		if t.ledger != nil {
			capacity.Obtainable += t.ledger.PendingReclaim(t.ownership.Owner.VM)
		}
	}
	return capacity
}

// maxHintAge is how long an owner's last response is used as a hint of what it can grant.
const maxHintAge = 250 * time.Millisecond

func (t *targetState) hasFreshHint(now time.Time) bool {
	return t.ledger != nil || t.holder.ResponseAge(now) <= maxHintAge
}

// obtainable is the number of slots that this VM could obtain soon on the target, as far as is known.
func (t *targetState) obtainable(now time.Time) int {
	switch {
	case t.ledger != nil:
		return t.holder.Free(now) + t.ledger.Obtainable(t.ownership.Owner.VM)
	case t.holder.Obtainable < 0:
		return t.settings.Slots
	default:
		return t.holder.Free(now) + t.holder.Obtainable
	}
}

// idleSlots is the number of slots that are not granted to anyone, or zero if the owner's hint is outdated.
func (t *targetState) idleSlots(now time.Time) int {
	switch {
	case t.ledger != nil:
		return t.ledger.IdleSlots()
	case t.hasFreshHint(now):
		return t.holder.Idle
	default:
		return 0
	}
}

// plannableCredits is the number of credits that may be requested from the owner. If its hint is outdated, at least
// one is requested to find out.
func (t *targetState) plannableCredits(now time.Time) int {
	if t.hasFreshHint(now) {
		return t.obtainable(now)
	}
	return max(1, t.obtainable(now))
}

// await waits until the request is granted or refused, its deadline passes, or the context ends.
func (c *Controller) await(ctx context.Context, w *waiter) (*admission.Grant, *verdict.Error) {
	var deadline <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case result := <-w.result:
		return result.grant, result.err
	case <-deadline:
		return c.cancelWait(w, func() *verdict.Error {
			message := "no slot became free before the deadline"
			return notRun(verdict.CodeDeadlineExceeded, message, c.retryAfter(w))
		})
	case <-ctx.Done():
		return c.cancelWait(w, func() *verdict.Error {
			return notRun(verdict.CodeCancelled, "the request was given up while it waited for a slot", 0)
		})
	}
}

// refuseLateWaiters refuses the queued requests whose response could not begin in time even if they started now.
func (c *Controller) refuseLateWaiters(p *pool, now time.Time) {
	for _, item := range p.queue.PopExpired(now.Add(p.estimator.FirstToken(now))) {
		w := item.Value.(*waiter)
		c.releaseSuspectTarget(w)
		message := "the answer could not begin before the deadline"
		w.result <- acquireResult{err: notRun(verdict.CodeDeadlineExceeded, message, c.retryAfter(w))}
	}
}

// cancelWait removes a request from its queue and returns the refusal. If it was granted or refused concurrently,
// that result is returned instead.
func (c *Controller) cancelWait(w *waiter, reason func() *verdict.Error) (*admission.Grant, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dequeue(w) {
		return nil, reason()
	}
	result := <-w.result
	return result.grant, result.err
}

// dequeue removes a request from its queue and reports whether it was still there.
func (c *Controller) dequeue(w *waiter) bool {
	c.releaseSuspectTarget(w)
	return w.pool.queue.Remove(w.item)
}

func (c *Controller) retryAfter(w *waiter) time.Duration {
	now := time.Now()
	wait, _ := w.pool.estimator.Wait(w.pool.queue.Len(), w.pool.capacity(now))
	return dispatch.RetryAfter(wait, 0, rand.Float64())
}
