// Package scheduler allocates the request slots of a fleet's targets to online requests and items of batch jobs.
//
// A Scheduler tracks every waiting request and every run in progress of the services that its VM coordinates. Online
// requests have priority, items use the remaining slots, and an item is preempted as soon as an online request needs
// its slot. An online request that cannot start in time is refused on arrival.
//
// The package is pure: the time and the random source are passed in, and nothing blocks. It is not safe for
// concurrent use.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/fairshare"
	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// Config configures a Scheduler. Zero fields take their defaults.
type Config struct {
	// OnlineSlotTime is the expected slot time of online requests until some have been observed. Default 700 ms.
	OnlineSlotTime time.Duration
	// ItemSlotTime is the expected slot time of an item that does not state one. Default 5 s.
	ItemSlotTime time.Duration
	// ProtectedSlack is the slack below which an item is protected from preemption. The slack is the time until the
	// item's due time less its expected remaining slot time; items with negative slack miss the due time anyway and
	// are not protected. Default 1.5 s.
	ProtectedSlack time.Duration
	// ProtectedShare is the share of a service's slots that protected items may hold. Default 0.5.
	ProtectedShare float64
	// HeadroomWindow is how far ahead slots are reserved for expected online requests rather than granted to items,
	// which would soon be preempted. Default 200 ms: several times what an item needs before its first event to
	// connect and to process its prompt and the text generated so far.
	HeadroomWindow time.Duration
	// NoTargetRetry is the retry delay for clients when no target is available. Default 1 s.
	NoTargetRetry time.Duration
	// ReportGrace is the age beyond which a run that its VM does not report is considered ended. Default 500 ms.
	ReportGrace time.Duration
	// WaitLease is how long a waiting request is kept without renewal. Default 600 ms.
	WaitLease time.Duration
	// ByCost makes the scheduler choose targets by expected cost and remaining work instead of free slots.
	ByCost bool
	// Health configures the ejection of targets.
	Health target.HealthConfig
}

func (c *Config) setDefaults() {
	setDefault(&c.OnlineSlotTime, 700*time.Millisecond)
	setDefault(&c.ItemSlotTime, 5*time.Second)
	setDefault(&c.ProtectedSlack, 1500*time.Millisecond)
	setDefault(&c.ProtectedShare, 0.5)
	setDefault(&c.HeadroomWindow, 200*time.Millisecond)
	setDefault(&c.NoTargetRetry, time.Second)
	setDefault(&c.ReportGrace, 500*time.Millisecond)
	setDefault(&c.WaitLease, 600*time.Millisecond)
	// Engines recover within seconds. The defaults of the target package are meant for longer outages and are too
	// slow here.
	setDefault(&c.Health.Failures, 2)
	setDefault(&c.Health.BaseEjection, 400*time.Millisecond)
	setDefault(&c.Health.MaxEjection, 3*time.Second)
	setDefault(&c.Health.SlowStart, time.Millisecond)
	setDefault(&c.Health.MaxEjected, 0.7)
	setDefault(&c.Health.SlowMinimum, 200*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Scheduler allocates the slots of all services.
type Scheduler struct {
	config Config
	random *rand.Rand
	pools  map[string]*pool
	// running and waiting index the runs in progress and the queued requests by ticket.
	running map[Ticket]*run
	waiting map[Ticket]*waiter
	targets map[string]*targetState
	// order sets the standing of each turn. interval is the mean time between two slots that become free.
	order func(p *pool, now time.Time, turns []turn, interval time.Duration)
	// pick chooses a target with a free slot by expected cost.
	pick func(now time.Time, p *pool, w *waiter) *targetState
}

// run is a request that holds a slot.
type run struct {
	ticket   Ticket
	class    Class
	target   *targetState
	granted  time.Time
	due      time.Time
	expected time.Duration
	// preempted runs have been told to release their slot, and no longer count as occupying it.
	preempted bool
	// silent runs have been counted against their target.
	silent bool
	costs  runCosts
}

// waiter is a queued request.
type waiter struct {
	Request
	arrived, renewed time.Time
	// arrival numbers the online requests of a pool.
	arrival uint64
	// memoryBound means that memory kept the request from a slot when it was last tried, and awaits is the item that was preempted
	// for its memory.
	memoryBound bool
	awaits      *run
}

// targetState is the state of one target.
type targetState struct {
	routing.Target
	pool *pool
	runs []*run
	// occupied is the number of runs that have not been preempted.
	occupied int
	// probing means that the next run decides whether the ejected target is readmitted.
	probing bool
	// reportedDraining means that another VM found the target draining or gone. It stays set for the lifetime of the
	// target process, because this VM's copy of the registry may be outdated.
	reportedDraining bool
	// recentGrants are the times of recent grants. Before ignoreTimeoutsUntil, timeouts do not count against the
	// target.
	recentGrants        []time.Time
	ignoreTimeoutsUntil time.Time
	// limiter keeps to the rate limit that the target states.
	limiter ratelimit.Limiter
	// restarted is when this VM learned that the target had started again under its ID. Earlier statements are those of its
	// former process. It is zero if no former process was known.
	restarted time.Time
	costs     targetCosts
}

// pool is the state of one service.
type pool struct {
	name string
	// targets are sorted by ID.
	targets []*targetState
	// onlineRuns is the number of online requests in progress.
	onlineRuns int
	health     *target.HealthGroup
	online     []*waiter
	items      []*waiter
	// arrived is the number of online requests so far.
	arrived uint64
	// onlineUse and itemUse are the recent use by account. They are separate because items run in slots that online requests leave.
	onlineUse, itemUse fairshare.Usage
	// expectedRetries are the retries that refused clients were told to make, sorted by time.
	expectedRetries []expectedRetry
	// arrivals are the times of first attempts of online requests within arrivalWindow.
	arrivals []time.Time
	// overcommitted is when a client that returned was last refused.
	overcommitted time.Time
	// onlineSlotTime is the moving average of the slot time of online requests.
	onlineSlotTime time.Duration
	costs          costs
}

// New returns a scheduler without targets.
func New(config Config, random *rand.Rand) *Scheduler {
	config.setDefaults()
	s := &Scheduler{
		config:  config,
		random:  random,
		pools:   map[string]*pool{},
		running: map[Ticket]*run{},
		waiting: map[Ticket]*waiter{},
		targets: map[string]*targetState{},
	}
	s.pick = s.pickByCost
	s.order = (*pool).order
	return s
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{
			name:           name,
			health:         target.NewHealthGroup(s.config.Health),
			onlineSlotTime: s.config.OnlineSlotTime,
			costs:          newCosts(s.config),
		}
		s.pools[name] = p
	}
	return p
}

// SetTargets replaces the registered targets. Runs on targets that were removed or have restarted are dropped.
func (s *Scheduler) SetTargets(now time.Time, targets []routing.Target) []Action {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		known := s.targets[t.ID]
		var restarted time.Time
		if known != nil && (known.StartedUnixMilli != t.StartedUnixMilli || known.Service != t.Service) {
			s.dropTarget(known)
			known.pool.health.Restart(t.ID)
			known, restarted = nil, now
		}
		if known == nil {
			p := s.pool(t.Service)
			known = &targetState{pool: p, restarted: restarted}
			s.targets[t.ID] = known
			p.targets = append(p.targets, known)
		}
		known.Target = t
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.dropTarget(t)
		}
	}
	var actions []Action
	for _, p := range s.pools {
		slices.SortFunc(p.targets, func(a, b *targetState) int { return strings.Compare(a.ID, b.ID) })
		p.health.SetTargets(p.targetIDs())
		actions = append(actions, s.refuseGoneVersions(p)...)
	}
	return append(actions, s.Tick(now)...)
}

// refuseGoneVersions refuses the items that wait for a version that no target has any more.
func (s *Scheduler) refuseGoneVersions(p *pool) []Action {
	var actions []Action
	for _, w := range slices.Clone(p.items) {
		if !p.serves(w.Version) {
			s.dequeue(w)
			actions = append(actions, Refuse{Ticket: w.Ticket, Reason: VersionGone})
		}
	}
	return actions
}

// serves reports whether a target of a version takes new runs, whatever its health, or whether the version is empty.
func (p *pool) serves(version string) bool {
	return version == "" || slices.ContainsFunc(p.targets, func(t *targetState) bool {
		return !t.Draining && !t.reportedDraining && t.Version == version
	})
}

func (p *pool) targetIDs() []string {
	ids := make([]string, len(p.targets))
	for i, t := range p.targets {
		ids[i] = t.ID
	}
	return ids
}

func (s *Scheduler) dropTarget(t *targetState) {
	for _, r := range slices.Clone(t.runs) {
		s.endRun(r)
	}
	delete(s.targets, t.ID)
	t.pool.costs.prefixes.Forget(t)
	t.pool.targets = slices.DeleteFunc(t.pool.targets, func(o *targetState) bool { return o == t })
}

// Submit requests a slot. Submitting a request again renews its wait, or repeats its grant.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	if granted := s.running[r.Ticket]; granted != nil {
		return []Action{granted.grant()}
	}
	if w := s.waiting[r.Ticket]; w != nil {
		w.renewed = now
		return nil
	}
	p := s.pool(r.Service)
	w := &waiter{Request: r, arrived: now, renewed: now}
	if !p.serves(r.Version) {
		return []Action{Refuse{Ticket: r.Ticket, RetryAfter: s.jitter(s.config.NoTargetRetry), Reason: VersionGone}}
	}
	if r.Class == Item {
		s.enqueueItem(p, w)
		return s.dispatch(now, p)
	}
	p.arrived++
	w.arrival = p.arrived
	switch {
	case r.Resuming:
	case r.Retry:
		p.consumeRetry(now, r.Account)
		p.extendWait(now, w)
	default:
		p.observeArrival(now)
	}
	actions, placed := s.place(now, p, w)
	if placed {
		return actions
	}
	if w.awaits == nil {
		if refusal, refused := s.admit(now, p, w); refused {
			return []Action{refusal}
		}
	}
	s.enqueueOnline(now, p, w)
	return append(actions, s.refuseOvertaken(now, p, w)...)
}

// enqueueOnline queues a request in the order of turns.
func (s *Scheduler) enqueueOnline(now time.Time, p *pool, w *waiter) {
	s.waiting[w.Ticket] = w
	p.online = append(p.online, w)
	s.sortOnline(now, p)
}

func (s *Scheduler) enqueueItem(p *pool, w *waiter) {
	if w.Expected == 0 {
		w.Expected = s.config.ItemSlotTime
	}
	s.waiting[w.Ticket] = w
	p.items = append(p.items, w)
}

// Release ends a run, or withdraws a waiting request. firstEvent is the time from sending the request to its first
// event, zero if there was none.
func (s *Scheduler) Release(now time.Time, ticket Ticket, outcome Outcome, firstEvent time.Duration) []Action {
	if w := s.waiting[ticket]; w != nil {
		s.dequeue(w)
		return nil
	}
	r := s.running[ticket]
	if r == nil {
		return nil
	}
	s.endRun(r)
	p := r.target.pool
	if r.class == Online && outcome == Finished {
		p.observeSlotTime(now.Sub(r.granted))
	}
	var actions []Action
	if outcome == Finished {
		actions = p.observeCost(now, r)
	}
	if !r.silent || outcome != Interrupted && outcome != TimedOut {
		actions = append(actions, p.observeHealth(now, r, outcome, firstEvent)...)
	}
	return append(actions, s.dispatch(now, p)...)
}

// ReportSilent records that the target of a run has sent nothing for too long. The run goes on.
func (s *Scheduler) ReportSilent(now time.Time, ticket Ticket) []Action {
	r := s.running[ticket]
	if r == nil || r.silent {
		return nil
	}
	r.silent = true
	return r.target.pool.observeHealth(now, r, TimedOut, 0)
}

// ReportDraining records that another VM found a target draining or gone. It is ignored if the target has started again
// since; a start time of zero means that the VM does not know it.
func (s *Scheduler) ReportDraining(id string, startedUnixMilli int64) {
	if t := s.targets[id]; t != nil && (startedUnixMilli == 0 || startedUnixMilli == t.StartedUnixMilli) {
		t.reportedDraining = true
	}
}

// ObserveRateLimit records what a target states about its rate limit, and reports whether the limit changed.
func (s *Scheduler) ObserveRateLimit(now time.Time, id string, statement ratelimit.Statement) (actions []Action, changed bool) {
	t := s.targets[id]
	if t == nil || statement.At.Before(t.restarted) || !t.limiter.Observe(now, statement) {
		return nil, false
	}
	return s.dispatch(now, t.pool), true
}

func (s *Scheduler) startRun(t *targetState, r *run) {
	r.target = t
	t.runs = append(t.runs, r)
	t.occupied++
	t.costs.tokens += r.costs.tokens
	t.costs.workAt = time.Time{}
	if r.class == Online {
		t.pool.onlineRuns++
	}
	s.running[r.ticket] = r
}

func (s *Scheduler) endRun(r *run) {
	t := r.target
	index := slices.Index(t.runs, r)
	t.runs = slices.Delete(t.runs, index, index+1)
	if !r.preempted {
		t.occupied--
	}
	t.costs.tokens -= r.costs.tokens
	t.costs.workAt = time.Time{}
	if r.class == Online {
		t.pool.onlineRuns--
	}
	delete(s.running, r.ticket)
}

// preempt takes back the slot of a run. The slot can be granted again before the run has ended.
func (r *run) preempt() {
	r.preempted = true
	r.target.occupied--
	r.target.costs.workAt = time.Time{}
}

func (s *Scheduler) dequeue(w *waiter) {
	delete(s.waiting, w.Ticket)
	p := s.pool(w.Service)
	same := func(o *waiter) bool { return o == w }
	p.online = slices.DeleteFunc(p.online, same)
	p.items = slices.DeleteFunc(p.items, same)
}

// Report processes the runs and the renewed waits that a VM reports. It corrects what lost messages have left behind,
// and informs a new coordinator of the runs in progress. It returns the sequence numbers of the waits that are
// unknown here, which have to be submitted again.
func (s *Scheduler) Report(now time.Time, vm string, runs []Run, waits []uint64) (actions []Action, unknown []uint64) {
	reported := make(map[uint64]bool, len(runs)+len(waits))
	for _, r := range runs {
		reported[r.Sequence] = true
		s.restore(now, Ticket{VM: vm, Sequence: r.Sequence}, r)
	}
	for _, sequence := range waits {
		reported[sequence] = true
		ticket := Ticket{VM: vm, Sequence: sequence}
		if w := s.waiting[ticket]; w != nil {
			w.renewed = now
		} else if r := s.running[ticket]; r != nil {
			actions = append(actions, r.grant())
		} else {
			unknown = append(unknown, sequence)
		}
	}
	s.dropExpiredWaits(now)
	freed := map[*pool]bool{}
	for ticket, r := range s.running {
		if ticket.VM == vm && !reported[ticket.Sequence] && now.Sub(r.granted) > s.config.ReportGrace {
			s.endRun(r)
			freed[r.target.pool] = true
		}
	}
	for p := range freed {
		actions = append(actions, s.dispatch(now, p)...)
	}
	return actions, unknown
}

// Knows reports whether a request holds a slot or waits for one.
func (s *Scheduler) Knows(ticket Ticket) bool {
	return s.running[ticket] != nil || s.waiting[ticket] != nil
}

// Holds reports whether any request of a VM holds a slot or waits for one.
func (s *Scheduler) Holds(vm string) bool {
	for ticket := range s.running {
		if ticket.VM == vm {
			return true
		}
	}
	for ticket := range s.waiting {
		if ticket.VM == vm {
			return true
		}
	}
	return false
}

// restore records a run that another coordinator has granted.
func (s *Scheduler) restore(now time.Time, ticket Ticket, r Run) {
	t := s.targets[r.Target]
	if s.running[ticket] != nil || t == nil {
		return
	}
	if w := s.waiting[ticket]; w != nil {
		s.dequeue(w)
	}
	restored := &run{ticket: ticket, class: r.Class, granted: now, due: now.Add(r.DueIn), expected: r.Expected}
	t.pool.restoreCosts(now, t, restored, r)
	s.startRun(t, restored)
}

// grant returns the Grant of a run, whose VM may have missed it.
func (r *run) grant() Grant {
	return Grant{Ticket: r.ticket, Target: r.target.ID, Address: r.target.Address, Version: r.target.Version, RateLimit: r.target.limiter.Statement()}
}

// RemoveVM drops all runs and waiting requests of a VM.
func (s *Scheduler) RemoveVM(now time.Time, vm string) []Action {
	for ticket, r := range s.running {
		if ticket.VM == vm {
			s.endRun(r)
		}
	}
	for ticket, w := range s.waiting {
		if ticket.VM == vm {
			s.dequeue(w)
		}
	}
	return s.Tick(now)
}

func (s *Scheduler) dropExpiredWaits(now time.Time) {
	for _, w := range s.waiting {
		if now.Sub(w.renewed) > s.config.WaitLease {
			s.dequeue(w)
		}
	}
}

// Tick drops expired requests and grants slots that have become available.
func (s *Scheduler) Tick(now time.Time) []Action {
	var actions []Action
	s.dropExpiredWaits(now)
	// A Preempt may be lost or overtake its Grant, so it is repeated until the run has ended.
	for ticket, r := range s.running {
		if r.preempted {
			actions = append(actions, Preempt{Ticket: ticket})
		}
	}
	for _, p := range s.pools {
		for _, id := range p.health.DueProbes(now) {
			if t := s.targets[id]; t != nil && t.pool == p {
				t.probing = true
			}
		}
		actions = append(actions, s.dispatch(now, p)...)
		actions = append(actions, s.refuseExpired(now, p)...)
	}
	return actions
}
