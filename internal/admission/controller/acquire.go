package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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
	// lane is the target at which a suspect request waits to run alone among suspects.
	lane *targetState
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
	p, refusal := c.check(request)
	if refusal != nil {
		return nil, refusal
	}
	if len(request.Tried) == 0 {
		c.retries.FirstTry()
	}
	w := c.newWaiter(p, request, now)
	p.queue.Push(w.item)
	c.pump(p, now)
	if len(w.granted) == 0 {
		refusal = c.refuseLate(w, now)
	}
	return w, refusal
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
	if p == nil || !p.hasTarget(request.Tried) {
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

// refuseLate takes a request out of the queue again when it cannot meet its deadline.
func (c *Controller) refuseLate(w *waiter, now time.Time) *verdict.Error {
	if w.request.Deadline.IsZero() {
		return nil
	}
	wait, known := w.pool.estimator.Wait(w.position, w.pool.capacity(now))
	if !known {
		return nil
	}
	patience := w.request.Deadline.Sub(now) - w.pool.estimator.FirstToken(now)
	if wait <= patience {
		return nil
	}
	c.abandon(w)
	message := fmt.Sprintf("%d requests wait ahead and a slot is expected in %s, after the deadline",
		w.position, wait.Round(time.Millisecond))
	return notRun(verdict.CodeOverloaded, message, dispatch.RetryAfter(wait, patience, rand.Float64()))
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
	}
	return capacity
}

// obtainable is the number of slots that a target could give soon, as far as is known.
func (t *targetState) obtainable(now time.Time) int {
	if t.holder.Obtainable < 0 {
		return t.settings.Slots
	}
	return t.holder.Free(now) + t.holder.Obtainable
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

// refuseHopeless refuses the waiting requests that could not get their first byte in time even if they ran now.
func (c *Controller) refuseHopeless(p *pool, now time.Time) {
	for _, item := range p.queue.Expired(now.Add(p.estimator.FirstToken(now))) {
		w := item.Value.(*waiter)
		c.leaveLane(w)
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
	c.leaveLane(w)
	return w.pool.queue.Remove(w.item)
}

func (c *Controller) retryAfter(w *waiter) time.Duration {
	now := time.Now()
	wait, _ := w.pool.estimator.Wait(w.pool.queue.Len(), w.pool.capacity(now))
	return dispatch.RetryAfter(wait, 0, rand.Float64())
}

// pump places as many waiting requests as credits allow, and asks for credits for the rest.
func (c *Controller) pump(p *pool, now time.Time) {
	c.refuseWaitingQuarantined(p)
	if p.queue.Len() > 0 {
		c.collect(p, now)
	}
	c.placeWaiting(p, now)
	if p.queue.Len() == 0 {
		c.dropWants(p, now)
		return
	}
	c.requestCredits(p, now)
	// Asks to this VM's own ledgers are answered at once.
	c.placeWaiting(p, now)
}

func (c *Controller) placeWaiting(p *pool, now time.Time) {
	for p.queue.Len() > 0 {
		candidates := c.candidates(p, now)
		if !anyFree(candidates) {
			return
		}
		var chosen *targetState
		item := p.queue.Next(func(item *dispatch.Item) bool {
			chosen = c.place(item.Value.(*waiter), candidates, now)
			return chosen != nil
		})
		if item == nil {
			return
		}
		c.grant(item.Value.(*waiter), chosen, now)
	}
}

// candidate is a target as the choice sees it.
func (c *Controller) candidate(t *targetState, now time.Time) dispatch.Candidate {
	share := t.pool.health.Share(now, t.settings.Name)
	return dispatch.Candidate{
		Name:    t.settings.Name,
		Local:   t.settings.AvailabilityZone == c.config.AvailabilityZone,
		Healthy: share > 0,
		Share:   share,
		Free:    min(t.holder.Free(now), t.shareLeft(share)),
		InUse:   t.holder.InUse(),
		Slots:   t.settings.Slots,
	}
}

// shareLeft is the number of further requests that the target's share allows, at least one in all.
func (t *targetState) shareLeft(share float64) int {
	allowed := max(1, int(share*float64(t.settings.Slots)))
	return max(0, allowed-t.holder.InUse())
}

// candidates describes the active targets of a pool, in their order.
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

// place returns the target that a request can be sent to now, or nil.
func (c *Controller) place(w *waiter, candidates []dispatch.Candidate, now time.Time) *targetState {
	if c.quarantine.Status(w.request.Fingerprint) == quarantine.Suspect {
		return c.placeSuspect(w, now)
	}
	i, ok := c.chooser.Pick(w.query(), candidates, rand.IntN)
	if !ok {
		return nil
	}
	return w.pool.active[i]
}

// query is what the choice of a target needs to know.
func (w *waiter) query() dispatch.Query {
	return dispatch.Query{Tried: w.request.Tried, PrefixBlocks: w.request.PrefixBlocks}
}

func (c *Controller) grant(w *waiter, t *targetState, now time.Time) {
	t.holder.Take(now)
	suspect := w.lane == t
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
	w.granted <- admitted{grant: grant}
}

func (w *waiter) reason(t *targetState, waited time.Duration) string {
	text := "a slot was free at once"
	if waited > 0 {
		text = fmt.Sprintf("waited %s for a slot behind %d requests", waited.Round(time.Microsecond), w.position)
	}
	if w.lane == t {
		return text + fmt.Sprintf("; runs on %s apart from other suspects, because a target broke off while running it", t.settings.Name)
	}
	return text + fmt.Sprintf("; %s was the best of the targets with a free slot by cached prefix, load and availability zone", t.settings.Name)
}

// release takes a slot back and records how the attempt went.
func (c *Controller) release(w *waiter, t *targetState, suspect bool, outcome admission.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t.holder.Put(now)
	c.observe(t, w.request.Fingerprint, outcome, now)
	if suspect {
		t.suspectRunning = false
		c.leaveLane(w)
		c.askFor(t, 0, now)
	}
	c.returnCredits(t, now)
	c.pump(t.pool, now)
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
		c.quarantine.Finished(fingerprint)
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
	admission.EndCompleted:   target.Answered,
	admission.EndUnreachable: target.Unreachable,
	admission.EndRefused:     target.Refused,
	admission.EndCut:         target.Cut,
	admission.EndTimeout:     target.TimedOut,
}

// perToken returns the mean time between tokens.
func perToken(o admission.Outcome) time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}
