package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/workload"
)

const (
	// promptTokensPerMs is the speed at which targets read prompts: 50 to 100 tokens per ms on the reference deployments.
	promptTokensPerMs = 75
	// typicalPromptTokens is assumed where a request does not state its size.
	typicalPromptTokens = 450
	// maxTokens bounds the sizes that clients state, so that sums cannot overflow.
	maxTokens = 1 << 30
	// outputTokensPerMs is the speed at which one run makes output: events of 12 tokens, 36 ms apart.
	outputTokensPerMs = 1.0 / 3
	// firstEventMs is the time of the steps that make the first event once the prompt is read, and stepGrowth the share by which each
	// run lengthens a step.
	firstEventMs, stepGrowth = 36.0, 0.03
	// startWindow is the time within which the prompts of earlier starts may delay another one.
	startWindow = 250 * time.Millisecond
	// zoneMs is the cost of another availability zone: a message each way at 0.5 to 1.4 ms.
	zoneMs = 1.9
	// prefixShare is the share of a prompt that need not be read again where its prefix was read before. Only the identity of the
	// prefix is known, not its length.
	prefixShare = 0.5
	// workWeight is the price of a ms of remaining work for each slot. Remaining work delays a request that has a slot only by longer
	// steps, but a target that is kept from being full serves the next requests better. Half and double of it do as well in replays;
	// a tenth of it fills the fast targets first, so that requests in their slow phases are late.
	workWeight = 0.1
	// workHorizon bounds the remaining work of one run that counts: about the slot time of an online request.
	workHorizon = time.Second
	// workLifetime is how long the remaining work of a target is carried forward instead of computed from all of its runs, which would
	// be half of the time of a placement.
	workLifetime = 50 * time.Millisecond
	// tieMs is the difference of cost within which targets are chosen at random, so that simultaneous requests of several
	// coordinators do not go to the same target: the differences that the model cannot tell apart.
	tieMs = 1.0
	// nearlyFullShare is the share of occupied slots from which a target counts as nearly full.
	nearlyFullShare = 0.8
	// nearlyCompleteShare is the share of its expected slot time that a nearly complete item still needs, at most.
	nearlyCompleteShare = 0.2
	// rereadFactor prices the reading of a preempted item's prompt and text on another target, which delays the requests there.
	rereadFactor = 2
	// speedChangeFactor is the change of a target's slowdown that is logged, and minSpeedChangeInterval the time between two
	// such lines of a target.
	speedChangeFactor      = 1.5
	minSpeedChangeInterval = 5 * time.Second
)

// estimator predicts slot times. *workload.Estimator implements it.
type estimator interface {
	Observe(now time.Time, c workload.Class, d time.Duration)
	Estimate(now time.Time, c workload.Class) workload.Estimate
}

// costs is what a pool has learned about the costs of its requests.
type costs struct {
	// enabled means that targets are chosen by expected cost.
	enabled bool
	// memoryTokens is the number of tokens that the requests on one target may hold together. Zero means no limit.
	memoryTokens int
	// itemTokens is the part of memoryTokens that items which are not urgent may fill.
	itemTokens int
	estimates  estimator
	accuracy   workload.Accuracy
	// median is the moving median of the slot time of online requests.
	median   time.Duration
	prefixes *workload.Prefixes[*targetState]
}

func newCosts(config Config) costs {
	return costs{
		enabled:   config.ByCost,
		estimates: workload.NewEstimator(),
		median:    config.OnlineSlotTime,
		prefixes:  workload.NewPrefixes[*targetState](),
	}
}

// targetCosts is the part of a target's state that its cost follows from.
type targetCosts struct {
	speed workload.Speed
	// starts are the recent starts of runs with the time to read their prompts.
	starts []start
	// tokens is the number of tokens that the runs hold, including preempted ones, which hold them until they have ended.
	tokens int
	// work is the remaining work in ms at workAt. A zero workAt means that runs have begun or ended since.
	work   float64
	workAt time.Time
	// loggedSlowdown is the slowdown that was last reported.
	loggedSlowdown float64
	loggedAt       time.Time
}

type start struct {
	at       time.Time
	promptMs float64
}

// runCosts is the part of a run's state that its cost follows from.
type runCosts struct {
	class workload.Class
	// estimate is the estimate when the run was granted, and median and high the slot times that were expected without regard to
	// the target's speed.
	estimate workload.Estimate
	median   time.Duration
	// shortest and longest are the bounds of the slot time on the target, see endsWithin.
	shortest, longest time.Duration
	tokens            int
	nearlyFull        bool
	// ageUnknown means that the run was learned from a report that did not state its age.
	ageUnknown bool
}

// EngineInfo describes the engines of a service's targets.
type EngineInfo struct {
	// MemoryTokens is the number of tokens that the requests on one target may hold together. Zero means unknown.
	MemoryTokens int
}

// SetEngines records what is known of the engines of a service. Nil means that its targets are not engines, so that costs are not
// estimated. Without a call they are.
func (s *Scheduler) SetEngines(service string, info *EngineInfo) {
	p := s.pool(service)
	p.costs.enabled = s.config.ByCost && info != nil
	p.costs.memoryTokens = 0
	if info != nil {
		p.costs.memoryTokens = info.MemoryTokens
	}
}

func (r Request) workloadClass() workload.Class {
	return workload.Class{Route: r.Route, Account: r.Account, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens}
}

// tokens returns the number of tokens that the request may hold, zero if that is unknown.
func (r Request) tokens() int {
	return min(max(r.PromptTokens, 0), maxTokens) + min(max(r.OutputTokens, 0), maxTokens)
}

func (r Request) promptMs() float64 {
	tokens := min(r.PromptTokens, maxTokens)
	if tokens <= 0 {
		tokens = typicalPromptTokens
	}
	return float64(tokens) / promptTokensPerMs
}

// limitsMemory reports whether memory limits where a request may be placed. One that fits no target even when it is empty is placed
// as if its size were unknown.
func (p *pool) limitsMemory(r *Request) bool {
	tokens := r.tokens()
	return p.costs.enabled && tokens > 0 && tokens <= p.costs.memoryTokens
}

// fits reports whether a target has memory for a request. Runs of unknown size hold nothing.
func (t *targetState) fits(r *Request) bool {
	return t.costs.tokens+r.tokens() <= t.pool.costs.memoryTokens
}

// reserveMemory keeps the share of the memory that the headroom is of the slots from items that are not urgent. Where memory and not
// the slots limits what runs, an item would otherwise take the memory of each one that was preempted.
func (p *pool) reserveMemory(headroom, slots int) {
	reserved := float64(headroom) / float64(max(slots, 1)) * float64(p.costs.memoryTokens)
	p.costs.itemTokens = p.costs.memoryTokens - int(reserved)
}

// leavesHeadroom reports whether a request is not an item, or leaves the memory that is reserved for online requests. An item that
// is larger than the rest gets a target that holds nothing.
func (s *Scheduler) leavesHeadroom(now time.Time, t *targetState, w *waiter) bool {
	return w.Class == Online || t.costs.tokens == 0 || t.costs.tokens+w.tokens() <= t.pool.costs.itemTokens || s.isUrgent(now, w)
}

// nearlyFullWith reports whether a target is nearly full with a number of runs.
func (t *targetState) nearlyFullWith(runs int) bool {
	return float64(runs) >= nearlyFullShare*float64(t.Slots)
}

// pickByCost returns the target with a free slot where the request would first have its prompt read.
func (s *Scheduler) pickByCost(now time.Time, p *pool, w *waiter) *targetState {
	var best *targetState
	bestCost := math.Inf(1)
	limited := p.limitsMemory(&w.Request)
	c := w.costOn(now, p)
	for _, t := range p.targets {
		if p.free(now, t) <= 0 || !w.mayUse(t) {
			continue
		}
		if limited && !(t.fits(&w.Request) && s.leavesHeadroom(now, t, w)) {
			w.memoryBound = true
			continue
		}
		if cost := c.of(t) + s.random.Float64()*tieMs; cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// costing computes the cost of one request on several targets.
type costing struct {
	now      time.Time
	zone     string
	promptMs float64
	readers  [4]*targetState
}

func (w *waiter) costOn(now time.Time, p *pool) costing {
	c := costing{now: now, zone: w.AvailabilityZone, promptMs: w.promptMs()}
	c.readers, _ = p.costs.prefixes.Readers(now, w.Prefix)
	return c
}

// of returns the expected time in ms until the prompt is read on a target, together with the price of its remaining work.
func (c *costing) of(t *targetState) float64 {
	prompt := c.promptMs
	if slices.Contains(c.readers[:], t) {
		prompt *= 1 - prefixShare
	}
	cost := 0.0
	if t.AvailabilityZone != c.zone {
		cost += zoneMs
	}
	slowdown := t.costs.speed.Slowdown(c.now, t.nearlyFullWith(t.occupied+1))
	decode := firstEventMs * (1 + stepGrowth*float64(t.occupied))
	cost += slowdown * (prompt + decode + t.unreadMs(c.now))
	return cost + workWeight*t.remainingWork(c.now)/float64(max(t.Slots, 1))
}

// unreadMs returns the time that the prompts of recent starts still need. When a prompt is read is not known here, so that its share
// falls linearly within startWindow.
func (t *targetState) unreadMs(now time.Time) float64 {
	unread := 0.0
	for i := len(t.costs.starts) - 1; i >= 0; i-- {
		age := now.Sub(t.costs.starts[i].at)
		if age >= startWindow {
			break
		}
		unread += t.costs.starts[i].promptMs * (1 - float64(age)/float64(startWindow))
	}
	return unread
}

// remainingWork returns the expected time in ms until the runs of a target have ended, one after the other.
func (t *targetState) remainingWork(now time.Time) float64 {
	if age := now.Sub(t.costs.workAt); age >= 0 && age < workLifetime {
		return max(t.costs.work-float64(t.occupied)*float64(age)/float64(time.Millisecond), 0)
	}
	var sum time.Duration
	for _, r := range t.runs {
		if !r.preempted {
			sum += min(r.remaining(now, t.pool.onlineSlotTime), workHorizon)
		}
	}
	t.costs.work, t.costs.workAt = float64(sum)/float64(time.Millisecond), now
	return t.costs.work
}

// remainingByCost returns the expected time until a run ends.
func (r *run) remainingByCost(now time.Time) time.Duration {
	age := now.Sub(r.granted)
	return max(r.expected-age, r.expected/minRemainingDivisor)
}

// prepareRun sets the costs of a run that starts on a target with one run less than it has now.
func (p *pool) prepareRun(now time.Time, t *targetState, r *run, request *Request) {
	r.costs = runCosts{class: request.workloadClass(), tokens: request.tokens()}
	if !p.costs.enabled {
		// The size is kept, because the service may turn out to have engines while the run goes on.
		return
	}
	r.costs.nearlyFull = t.nearlyFullWith(t.occupied + 1)
	slowdown := t.costs.speed.Slowdown(now, r.costs.nearlyFull)
	if r.class == Item {
		r.expected = time.Duration(float64(request.Expected) * slowdown)
		return
	}
	mean, median, high := p.onlineSlotTime, p.costs.median, 2*p.onlineSlotTime
	if e := p.costs.estimates.Estimate(now, r.costs.class); e.Known {
		r.costs.estimate = e
		// Estimates that have been worse than the mean are not used.
		if p.costs.accuracy.Better() {
			mean, median, high = e.Mean, e.Median, e.High
		}
	}
	r.costs.median = median
	r.expected = time.Duration(float64(mean) * slowdown)
	r.costs.longest = time.Duration(float64(high) * slowdown)
	// The lower quantile is as far from the median as the upper one, in the logarithm. Runs that end before it are allowed for by
	// half of it; with the whole of it, replays of overload refuse more requests than could have started in time.
	r.costs.shortest = time.Duration(float64(median) * min(float64(median)/float64(high), 1) / 2 * slowdown)
}

// restoreCosts sets the costs of a run that another coordinator has granted.
func (p *pool) restoreCosts(now time.Time, t *targetState, r *run, reported Run) {
	request := Request{
		Class: reported.Class, Expected: reported.Expected, Route: reported.Route, Account: reported.Account,
		PromptTokens: reported.PromptTokens, OutputTokens: reported.OutputTokens, Prefix: reported.Prefix,
	}
	p.prepareRun(now, t, r, &request)
	if !p.costs.enabled {
		return
	}
	r.granted = now.Add(-max(reported.Age, 0))
	r.costs.ageUnknown = reported.Age <= 0
	p.costs.prefixes.Record(now, reported.Prefix, t)
	if reported.Age > 0 && reported.Age < startWindow {
		t.recordStart(r.granted, &request)
	}
}

// recordStart records that a target begins to read a prompt.
func (t *targetState) recordStart(now time.Time, r *Request) {
	if !t.pool.costs.enabled {
		return
	}
	old := 0
	for old < len(t.costs.starts) && now.Sub(t.costs.starts[old].at) >= startWindow {
		old++
	}
	t.costs.starts = append(t.costs.starts[old:], start{now, r.promptMs()})
	t.pool.costs.prefixes.Record(now, r.Prefix, t)
}

// observeCost learns from a run that has ended with a complete response.
func (p *pool) observeCost(now time.Time, r *run) []Action {
	if !p.costs.enabled || r.class != Online || r.costs.ageUnknown {
		return nil
	}
	t, d := r.target, now.Sub(r.granted)
	if d <= 0 {
		return nil
	}
	p.costs.accuracy.Observe(d, r.costs.estimate.Median, p.costs.median)
	t.costs.speed.Observe(now, d, r.costs.median, r.costs.nearlyFull)
	p.costs.estimates.Observe(now, r.costs.class, d)
	p.costs.median = time.Duration(float64(p.costs.median) * math.Pow(float64(d)/float64(p.costs.median), slotTimeWeight))
	actions := []Action{Observation{Expected: r.expected, Actual: d, Known: r.costs.estimate.Known}}
	if change, changed := t.speedChange(now); changed {
		actions = append(actions, change)
	}
	return actions
}

// speedChange reports a slowdown that differs a lot from the one reported last.
func (t *targetState) speedChange(now time.Time) (SpeedChange, bool) {
	slowdown := t.costs.speed.Slowdown(now, false)
	before := t.costs.loggedSlowdown
	if before == 0 {
		before = 1
	}
	if max(slowdown/before, before/slowdown) < speedChangeFactor || now.Sub(t.costs.loggedAt) < minSpeedChangeInterval {
		return SpeedChange{}, false
	}
	t.costs.loggedSlowdown, t.costs.loggedAt = slowdown, now
	return SpeedChange{Target: t.ID, Before: before, Slowdown: slowdown, NearlyFull: t.costs.speed.Slowdown(now, true), Occupied: t.occupied}, true
}

// placeByCost grants a slot to an online request: a free one, or one that is preempted from an item. If the item's memory is needed
// too, the request has to wait until the item has ended.
func (s *Scheduler) placeByCost(now time.Time, p *pool, w *waiter) ([]Action, bool) {
	w.memoryBound = false
	if t := s.pick(now, p, w); t != nil {
		return []Action{s.grant(now, t, w)}, true
	}
	victim, fits := s.victimByCost(now, p, w)
	if victim == nil {
		return nil, false
	}
	victim.preempt()
	if !fits {
		w.awaits = victim
		return []Action{Preempt{Ticket: victim.ticket}}, false
	}
	return []Action{Preempt{Ticket: victim.ticket}, s.grant(now, victim.target, w)}, true
}

// preemption is an item that may be preempted for an online request.
type preemption struct {
	run *run
	// fits means that the target has memory for the request while the item has not ended yet.
	fits, protected, nearlyComplete bool
	late                            bool
	costMs                          float64
}

// better reports whether a is the better item to preempt.
func (a *preemption) better(b *preemption) bool {
	switch {
	case b.run == nil:
		return true
	case a.protected != b.protected:
		return b.protected
	case a.fits != b.fits:
		return a.fits
	case a.nearlyComplete != b.nearlyComplete:
		return b.nearlyComplete
	case a.late != b.late:
		return a.late
	default:
		return a.costMs < b.costMs
	}
}

// victimByCost returns the item whose preemption costs least, on a target that the request may use, and whether the target has
// memory for the request at once.
func (s *Scheduler) victimByCost(now time.Time, p *pool, w *waiter) (*run, bool) {
	var best preemption
	limited := p.limitsMemory(&w.Request)
	awaiting := w.awaits != nil && s.running[w.awaits.ticket] == w.awaits
	c := w.costOn(now, p)
	protected, total := 0, 0
	for _, t := range p.targets {
		if !p.usable(now, t) {
			continue
		}
		total += p.slots(t)
		eligible := !t.probing && w.mayUse(t) && t.limiter.Available(now) > 0
		targetCost := -1.0
		for _, r := range t.runs {
			if r.class != Item || r.preempted {
				continue
			}
			slack := r.slack(now)
			candidate := preemption{run: r, fits: !limited || t.fits(&w.Request), protected: s.isNearlyDue(slack), late: slack < 0}
			if candidate.protected {
				protected++
			}
			if !eligible {
				continue
			}
			if !candidate.fits {
				w.memoryBound = true
				if awaiting || t.costs.tokens-r.costs.tokens+w.tokens() > p.costs.memoryTokens {
					continue
				}
			}
			if targetCost < 0 {
				targetCost = c.of(t)
			}
			candidate.nearlyComplete = r.nearlyComplete(now)
			candidate.costMs = targetCost + r.rereadMs(now)
			if candidate.better(&best) {
				best = candidate
			}
		}
	}
	if best.protected && float64(protected) <= s.config.ProtectedShare*float64(total) {
		return nil, false
	}
	return best.run, best.fits
}

// nearlyComplete reports whether an item has run for most of its expected slot time.
func (r *run) nearlyComplete(now time.Time) bool {
	return float64(r.expected-now.Sub(r.granted)) < nearlyCompleteShare*float64(r.expected)
}

// rereadMs returns the price of reading an item's prompt, and the text that it has made in this run, on another target.
func (r *run) rereadMs(now time.Time) float64 {
	prompt := r.costs.class.PromptTokens
	if prompt <= 0 {
		prompt = typicalPromptTokens
	}
	made := outputTokensPerMs * float64(now.Sub(r.granted)) / float64(time.Millisecond)
	return rereadFactor * (float64(prompt) + made) / promptTokensPerMs
}

// endsWithin returns the probability that an online run ends within d. Its slot time is taken as evenly distributed between its
// quantiles: with costs that vary tenfold, many runs end well before the mean.
func (r *run) endsWithin(now time.Time, d time.Duration) float64 {
	age := now.Sub(r.granted)
	from, left := max(age, r.costs.shortest), max(r.costs.longest-age, r.expected/minRemainingDivisor)
	return min(max(float64(age+d-from)/float64(min(left, r.costs.longest-r.costs.shortest)), 0), 1)
}

// waitByCost estimates when a slot becomes free that none of the requests ahead takes, from the costs of the runs in progress.
func (p *pool) waitByCost(now time.Time, w *waiter, ahead int, maxWait, interval time.Duration) time.Duration {
	ends := 0.0
	for _, t := range p.targets {
		if !p.usable(now, t) || !w.mayUse(t) {
			continue
		}
		if t.limiter.Limited() && t.occupied < t.Slots {
			// The target's rate limit decides when it takes requests, not the ends of its runs.
			for n := 1; n <= t.Slots && t.limiter.Wait(now, n) <= maxWait; n++ {
				ends++
			}
			continue
		}
		for _, r := range t.runs {
			if r.class == Online {
				ends += r.endsWithin(now, maxWait)
			}
		}
	}
	wanted := float64(ahead + 1)
	wait := time.Duration(float64(maxWait) * wanted / max(ends, 1))
	if ends < wanted {
		wait = max(maxWait, 0) + time.Duration((wanted-ends)*float64(interval))
	}
	if w.memoryBound {
		wait = max(wait, p.memoryWait(now, w))
	}
	return wait
}

// memoryWait returns when a target is expected to have a slot and memory for a request that only memory keeps from a free slot.
func (p *pool) memoryWait(now time.Time, w *waiter) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, t := range p.targets {
		if !p.usable(now, t) || !w.mayUse(t) {
			continue
		}
		runs := slices.Clone(t.runs)
		slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.untilRelease(now), b.untilRelease(now)) })
		held := t.costs.tokens
		for _, r := range runs {
			if held -= r.costs.tokens; held+w.tokens() <= p.costs.memoryTokens {
				best = min(best, r.untilRelease(now))
				break
			}
		}
	}
	return best
}

// untilRelease returns the expected time until a run gives back its memory.
func (r *run) untilRelease(now time.Time) time.Duration {
	switch {
	case r.preempted:
		return 0
	case r.class == Item:
		return max(r.expected-now.Sub(r.granted), 0)
	default:
		return r.remaining(now, r.target.pool.onlineSlotTime)
	}
}

// Observation reports the slot time of a run that has ended with a complete response.
type Observation struct {
	Expected, Actual time.Duration
	// Known means that the estimate rested on observations of its class.
	Known bool
}

// SpeedChange reports that the speed of a target has changed by a lot.
type SpeedChange struct {
	Target string
	// Before and Slowdown are the factors by which requests took longer than expected, and NearlyFull is the present one when most
	// slots are occupied.
	Before, Slowdown, NearlyFull float64
	Occupied                     int
}

func (Observation) action() {}
func (SpeedChange) action() {}
