// Package scheduler shares the slots of a fleet's targets between online requests and items of batch jobs.
//
// A Scheduler sees every request that waits and every run in progress of the services that its VM
// coordinates. Online requests go first, items fill the slots that are left, and an item gives its
// slot back as soon as an online request needs it. An online request that cannot start in time is
// refused on arrival.
//
// The package is pure: the time and the random source are passed in, and nothing blocks. It is not
// safe for concurrent use.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// Config configures a Scheduler. Zero fields take their defaults.
type Config struct {
	// OnlineRun is the slot time that online requests are expected to need until some have been observed. Default 700 ms.
	OnlineRun time.Duration
	// ItemRun is the slot time of an item that names none. Default 5 s.
	ItemRun time.Duration
	// ProtectedSlack is the time left before an item's due time, beyond its expected run, below which it no
	// longer yields. Default 1.5 s.
	ProtectedSlack time.Duration
	// ProtectedShare is the share of a service's slots that such items may hold. Default 0.5.
	ProtectedShare float64
	// ItemHeadroom is how far ahead slots are kept for the online requests that are about to come, rather than given to
	// items that would lose them again. Default 200 ms: several times what an item needs until it makes events, a
	// connection and the reading of its prompt and text.
	ItemHeadroom time.Duration
	// NoTargetRetry is when a client should come back if there is no target. Default 1 s.
	NoTargetRetry time.Duration
	// ReportGrace is the age from which a grant that its VM does not report is taken as over. Default 500 ms.
	ReportGrace time.Duration
	// WaitLease is how long a waiting request is kept without being renewed. Default 600 ms.
	WaitLease time.Duration
	// Health configures the ejection of targets.
	Health target.HealthConfig
}

func (c *Config) setDefaults() {
	setDefault(&c.OnlineRun, 700*time.Millisecond)
	setDefault(&c.ItemRun, 5*time.Second)
	setDefault(&c.ProtectedSlack, 1500*time.Millisecond)
	setDefault(&c.ProtectedShare, 0.5)
	setDefault(&c.ItemHeadroom, 200*time.Millisecond)
	setDefault(&c.NoTargetRetry, time.Second)
	setDefault(&c.ReportGrace, 500*time.Millisecond)
	setDefault(&c.WaitLease, 600*time.Millisecond)
	// Engines come back within seconds, so the defaults for long outages are too slow here.
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

// Scheduler holds the slots of all services.
type Scheduler struct {
	config Config
	random *rand.Rand
	pools  map[string]*pool
	// index finds the run or the waiting request of a ticket.
	running map[Ticket]*run
	waiting map[Ticket]*waiting
	targets map[string]*slots
}

// run is a granted slot.
type run struct {
	ticket   Ticket
	class    Class
	slots    *slots
	granted  time.Time
	due      time.Time
	expected time.Duration
	// yielding runs have been told to give their slot back, and do not count any more.
	yielding bool
}

// waiting is a request without a slot.
type waiting struct {
	Request
	arrived, renewed time.Time
}

// slots is one target.
type slots struct {
	routing.Target
	pool *pool
	runs []*run
	// occupied is the number of runs that are not yielding.
	occupied int
	// trial says that the next run decides whether the target returns from its ejection.
	trial bool
	// leaving says that another VM knows the target to be draining or gone. It holds for the rest of the
	// target's life, whatever this VM's older copy of the registry says.
	leaving bool
	// granted are the times of recent grants, and excusedUntil the end of the time in which silence says nothing.
	granted      []time.Time
	excusedUntil time.Time
}

// pool is one service.
type pool struct {
	name string
	// targets are in the order of their IDs.
	targets []*slots
	// onlineRuns is the number of online requests that run.
	onlineRuns int
	health     *target.HealthGroup
	online     []*waiting
	items      []*waiting
	// returns are the times at which refused clients were told to come back, in order.
	returns []time.Time
	// arrivals are the times of online requests that came first within arrivalWindow.
	arrivals []time.Time
	// onlineRun is the mean slot time of online requests.
	onlineRun time.Duration
}

// New returns a scheduler without targets.
func New(config Config, random *rand.Rand) *Scheduler {
	config.setDefaults()
	return &Scheduler{
		config:  config,
		random:  random,
		pools:   map[string]*pool{},
		running: map[Ticket]*run{},
		waiting: map[Ticket]*waiting{},
		targets: map[string]*slots{},
	}
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{
			name:      name,
			health:    target.NewHealthGroup(s.config.Health),
			onlineRun: s.config.OnlineRun,
		}
		s.pools[name] = p
	}
	return p
}

// SetTargets replaces the registered targets. Runs on targets that are gone are forgotten.
func (s *Scheduler) SetTargets(now time.Time, targets []routing.Target) []Action {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		known := s.targets[t.ID]
		if known != nil && (known.StartedUnixMilli != t.StartedUnixMilli || known.Service != t.Service) {
			s.dropTarget(known)
			known = nil
		}
		if known == nil {
			p := s.pool(t.Service)
			known = &slots{pool: p}
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
	for _, p := range s.pools {
		slices.SortFunc(p.targets, func(a, b *slots) int { return strings.Compare(a.ID, b.ID) })
		p.health.SetTargets(p.names())
	}
	return s.Tick(now)
}

func (p *pool) names() []string {
	names := make([]string, len(p.targets))
	for i, t := range p.targets {
		names[i] = t.ID
	}
	return names
}

func (s *Scheduler) dropTarget(t *slots) {
	for _, r := range slices.Clone(t.runs) {
		s.end(r)
	}
	delete(s.targets, t.ID)
	t.pool.targets = slices.DeleteFunc(t.pool.targets, func(o *slots) bool { return o == t })
}

// Submit takes a request for a slot. Submitting it again renews it, and repeats its grant.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	if granted := s.running[r.Ticket]; granted != nil {
		return []Action{granted.grant()}
	}
	if w := s.waiting[r.Ticket]; w != nil {
		w.renewed = now
		return nil
	}
	p := s.pool(r.Service)
	w := &waiting{Request: r, arrived: now, renewed: now}
	if r.Class == Item {
		s.enqueueItem(p, w)
		return s.dispatch(now, p)
	}
	if r.Returned {
		p.takeReturn(now)
	} else {
		p.observeArrival(now)
	}
	actions, placed := s.place(now, p, w)
	if placed {
		return actions
	}
	if refusal, refused := s.admit(now, p, w); refused {
		return []Action{refusal}
	}
	s.enqueueOnline(p, w)
	return nil
}

// enqueueOnline puts returned requests before those that come for the first time.
func (s *Scheduler) enqueueOnline(p *pool, w *waiting) {
	s.waiting[w.Ticket] = w
	at := len(p.online)
	if w.Returned {
		at = slices.IndexFunc(p.online, func(o *waiting) bool { return !o.Returned })
		if at < 0 {
			at = len(p.online)
		}
	}
	p.online = slices.Insert(p.online, at, w)
}

func (s *Scheduler) enqueueItem(p *pool, w *waiting) {
	if w.Expected == 0 {
		w.Expected = s.config.ItemRun
	}
	s.waiting[w.Ticket] = w
	p.items = append(p.items, w)
}

// Release ends a run or a wait. FirstEvent is the time from the send to the first event, zero when none came.
func (s *Scheduler) Release(now time.Time, ticket Ticket, outcome Outcome, firstEvent time.Duration) []Action {
	if w := s.waiting[ticket]; w != nil {
		s.forget(w)
		return nil
	}
	r := s.running[ticket]
	if r == nil {
		return nil
	}
	s.end(r)
	p := r.slots.pool
	if r.class == Online && outcome == Finished {
		p.observeRun(now.Sub(r.granted))
	}
	p.observeHealth(now, r, outcome, firstEvent)
	return s.dispatch(now, p)
}

func (s *Scheduler) start(t *slots, r *run) {
	r.slots = t
	t.runs = append(t.runs, r)
	t.occupied++
	if r.class == Online {
		t.pool.onlineRuns++
	}
	s.running[r.ticket] = r
}

func (s *Scheduler) end(r *run) {
	t := r.slots
	index := slices.Index(t.runs, r)
	t.runs = slices.Delete(t.runs, index, index+1)
	if !r.yielding {
		t.occupied--
	}
	if r.class == Online {
		t.pool.onlineRuns--
	}
	delete(s.running, r.ticket)
}

// yield takes the slot of a run back. Its target has it to give before the run has ended.
func (r *run) yield() {
	r.yielding = true
	r.slots.occupied--
}

func (s *Scheduler) forget(w *waiting) {
	delete(s.waiting, w.Ticket)
	p := s.pool(w.Service)
	same := func(o *waiting) bool { return o == w }
	p.online = slices.DeleteFunc(p.online, same)
	p.items = slices.DeleteFunc(p.items, same)
}

// Report takes the runs that a VM carries and the waits that it renews. It repairs what lost messages have left behind,
// and tells a new coordinator what runs. Waits that are not known here are returned; they have to be submitted again.
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
	for ticket, r := range s.running {
		if ticket.VM == vm && !reported[ticket.Sequence] && now.Sub(r.granted) > s.config.ReportGrace {
			s.end(r)
		}
	}
	return append(actions, s.Tick(now)...), unknown
}

// restore takes a run that another coordinator has granted.
func (s *Scheduler) restore(now time.Time, ticket Ticket, r Run) {
	t := s.targets[r.Target]
	if s.running[ticket] != nil || t == nil {
		return
	}
	if w := s.waiting[ticket]; w != nil {
		s.forget(w)
	}
	s.start(t, &run{ticket: ticket, class: r.Class, granted: now, due: now.Add(r.DueIn), expected: r.Expected})
}

// grant is the message of a run that its VM may have missed.
func (r *run) grant() Grant {
	return Grant{Ticket: r.ticket, Target: r.slots.ID, Address: r.slots.Address}
}

// VMGone forgets everything of a VM.
func (s *Scheduler) VMGone(now time.Time, vm string) []Action {
	for ticket, r := range s.running {
		if ticket.VM == vm {
			s.end(r)
		}
	}
	for ticket, w := range s.waiting {
		if ticket.VM == vm {
			s.forget(w)
		}
	}
	return s.Tick(now)
}

// Tick drops what has expired and grants what has become possible.
func (s *Scheduler) Tick(now time.Time) []Action {
	var actions []Action
	for _, w := range s.waiting {
		if now.Sub(w.renewed) > s.config.WaitLease {
			s.forget(w)
		}
	}
	// A yield that was lost, or overtook its grant, is repeated until the run has ended.
	for ticket, r := range s.running {
		if r.yielding {
			actions = append(actions, Preempt{Ticket: ticket})
		}
	}
	for _, p := range s.pools {
		for _, name := range p.health.DueProbes(now) {
			if t := s.targets[name]; t != nil && t.pool == p {
				t.trial = true
			}
		}
		actions = append(actions, s.dispatch(now, p)...)
		actions = append(actions, s.refuseLate(now, p)...)
	}
	return actions
}
