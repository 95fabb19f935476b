// Package scheduling connects the VMs to the schedulers that grant slots.
//
// The targets of a service are divided into groups (package group), and each group has one coordinator among the live
// VMs, chosen by rendezvous hashing. Every VM runs a scheduler, so a failed coordinator is replaced without an election:
// the next VM in rank learns the runs in progress from the reports of the others. While two VMs briefly coordinate the
// same group, they grant too many slots; the only effect is that requests wait inside the targets.
package scheduling

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// submitInterval is the time between two submissions of a request for a slot: long compared with a round trip
	// between availability zones, short compared with the latency objective of a request.
	submitInterval = 40 * time.Millisecond
	// renewInterval is the time after which a queued online request is submitted again: a fraction of the scheduler's
	// WaitLease. Items are renewed by the reports, because many of them wait for a long time.
	renewInterval = 150 * time.Millisecond
	// maxUnansweredSends is the number of messages without a response after which a coordinator's backoff starts.
	maxUnansweredSends = 3
	// reportInterval is the time between two reports to a coordinator.
	reportInterval = 250 * time.Millisecond
	// vmLease is how long a coordinator keeps the runs of a VM that sends no reports: several report intervals.
	vmLease = 2 * time.Second
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 25 * time.Millisecond
	// abandonedReportTime is how long a VM reports to a coordinator after it abandoned a request there, because a grant
	// may still arrive or have been lost: longer than the scheduler's ReportGrace.
	abandonedReportTime = time.Second
	// initialBackoff is the first backoff of a coordinator that does not respond; it doubles up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
	// noRegistryRetry is the retry delay for clients while no VM has read the registry: outages of the store last
	// seconds.
	noRegistryRetry = time.Second
)

// Node is the transport that the service uses.
type Node interface {
	Send(to netip.AddrPort, method peer.Method, message any) error
	HandleMessage(method peer.Method, handler datagram.MessageHandler)
}

// Slots grants slots of targets. *Service implements it.
type Slots interface {
	Acquire(ctx context.Context, request scheduler.Request) (*Slot, error)
}

// Config configures a Service.
type Config struct {
	// Process identifies one start of this VM's process, and is unique among all starts.
	Process string
	// AvailabilityZone is the availability zone of this VM.
	AvailabilityZone string
	Node             Node
	Members          member.View
	// Usable reports whether a target may be sent requests as far as this VM knows. A coordinator that is cut off
	// from the registry may grant slots of targets that are draining.
	Usable    func(target string) bool
	Scheduler scheduler.Config
	// Engines returns what is known of the engines of a service, or nil if its targets are not engines. It is used if the
	// scheduler places by cost.
	Engines func(service string) *scheduler.EngineInfo
	Log     zerolog.Logger
}

// Service requests slots from coordinators, and coordinates some services itself.
type Service struct {
	config Config

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// vm is the name of this VM.
	vm     string
	random *rand.Rand
	// vms are the VMs that report to this one.
	vms     map[string]*reporter
	next    uint64
	pending map[uint64]*pending
	runs    map[uint64]*Slot
	// division divides the registered targets into groups, and loads holds the last known loads of the groups that share
	// a service with one that this VM coordinates.
	division *group.Division
	loads    map[string]group.Load
	// reported are the groups whose coordinators were told of runs or waits by the last report, and abandoned the times
	// at which a request was last abandoned in a group.
	reported  map[string]bool
	abandoned map[string]time.Time
	// coordinators caches the coordinators of groups.
	coordinators map[string]coordinatorVM
	// hasRegistry means that the registry of targets has been read. A VM that starts during an outage of the store
	// knows no targets.
	hasRegistry bool
	backoffs    map[string]*backoff
	// unansweredReports counts the reports to a coordinator since its last response.
	unansweredReports map[string]int
	// limits are the rate limits that targets have stated to this VM.
	limits *ratelimit.Statements
	// starts are the start times of the registered targets.
	starts map[string]int64
}

// reporter is a VM that reports to this coordinator.
type reporter struct {
	address  netip.AddrPort
	lastSeen time.Time
}

type backoff struct {
	until time.Time
	next  time.Duration
	// replaced means that the next VM in rank coordinates meanwhile.
	replaced bool
}

// pending is a request that waits for a response of a coordinator.
type pending struct {
	responses chan response
	class     scheduler.Class
	// group is the group that the request was last sent to, and queuedAt the coordinator that has queued it, if any.
	group    string
	queuedAt string
}

// response is a coordinator's response to a request: a grant, a refusal or a notice that it does not know the request.
// If none of these is set, the request is queued.
type response struct {
	from    string
	grant   *grantMessage
	refuse  *refuseMessage
	unknown bool
}

// New returns a service, and registers its handlers at the node.
func New(config Config) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		config:            config,
		scheduler:         scheduler.New(config.Scheduler, random),
		vm:                config.Members.Self().VM,
		random:            random,
		division:          group.Divide(nil),
		loads:             map[string]group.Load{},
		reported:          map[string]bool{},
		abandoned:         map[string]time.Time{},
		coordinators:      map[string]coordinatorVM{},
		vms:               map[string]*reporter{},
		pending:           map[uint64]*pending{},
		runs:              map[uint64]*Slot{},
		backoffs:          map[string]*backoff{},
		unansweredReports: map[string]int{},
		limits:            ratelimit.NewStatements(),
		// A random start value, because messages of earlier builds do not name the process.
		next: random.Uint64() >> 1,
	}
	s.registerHandlers()
	return s
}

// Run sends reports and ticks the scheduler until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick, report, share := time.NewTicker(tickInterval), time.NewTicker(reportInterval), time.NewTicker(loadInterval)
	defer tick.Stop()
	defer report.Stop()
	defer share.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tick()
		case <-report.C:
			s.report()
		case <-share.C:
			s.shareLoads()
		}
	}
}

// SetTargets replaces the registered targets.
func (s *Service) SetTargets(targets []routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRegistry = true
	now, previous := time.Now(), s.division
	s.division = group.Divide(targets)
	s.forgetRateLimits(targets)
	clear(s.coordinators)
	s.updateEngines()
	maps.DeleteFunc(s.loads, func(key string, _ group.Load) bool { return s.division.Group(key) == nil })
	s.execute(s.scheduler.SetTargets(now, groupedTargets(s.division, targets)))
	s.restoreRateLimits(now)
	s.redirectFromRemoved(now, previous)
}

// Loads returns the loads of the services as this VM's scheduler knows them.
func (s *Service) Loads() []scheduler.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Loads(time.Now())
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for vm, r := range s.vms {
		if now.Sub(r.lastSeen) > vmLease {
			delete(s.vms, vm)
			if !s.scheduler.Holds(vm) {
				continue
			}
			s.config.Log.Info().Str("process", vm).Dur("silent_ms", now.Sub(r.lastSeen)).Msg("VM sends no reports; its slots are released")
			s.execute(s.scheduler.RemoveVM(now, vm))
		}
	}
	s.execute(s.scheduler.Tick(now))
}

// coordinatorReport is what a VM reports to one coordinator.
type coordinatorReport struct {
	to    coordinatorVM
	runs  []scheduler.Run
	waits []uint64
	// limits are the statements of the coordinator's targets that this VM has received.
	limits []rateLimitMessage
	// replace means that the coordinator's group has no other one to turn to.
	replace bool
}

// report tells coordinators the runs and waits of this VM in their groups. A VM without any is silent, after one last
// report that clears what lost messages have left behind.
func (s *Service) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, r := range s.reports(now) {
		if r.to.VM == s.vm {
			actions, unknown := s.scheduler.Report(now, s.config.Process, r.runs, r.waits)
			s.execute(actions)
			s.onUnknown(s.vm, unknown)
			continue
		}
		if s.unansweredReports[r.to.VM]++; s.unansweredReports[r.to.VM] > maxUnansweredSends {
			s.startBackoff(now, r.to.VM, "it does not respond", r.replace)
		}
		s.send(r.to.address, methodReport, reportMessage{VM: s.config.Process, Runs: r.runs, Waits: r.waits, RateLimits: r.limits})
	}
}

// reports returns the reports that are due, one for each coordinator.
func (s *Service) reports(now time.Time) map[string]*coordinatorReport {
	reports := map[string]*coordinatorReport{}
	added := map[string]bool{}
	at := func(key string) *coordinatorReport {
		c := s.coordinator(now, key)
		r := reports[c.VM]
		if r == nil {
			r = &coordinatorReport{to: c, replace: len(s.division.Groups(group.ServiceOf(key))) <= 1}
			reports[c.VM] = r
		}
		if !added[key] {
			added[key] = true
			r.limits = append(r.limits, s.rateLimitsOf(now, key)...)
		}
		return r
	}
	previous := s.reported
	s.reported = map[string]bool{}
	for sequence, slot := range s.runs {
		key := s.groupOf(slot)
		r := at(key)
		// A run on a former process of the target occupies no slot of the present one.
		if started, registered := s.starts[slot.Target]; !registered || started == slot.targetStarted {
			r.runs = append(r.runs, slot.run(now, sequence, s.config.Scheduler.ByCost))
		}
		s.reported[key] = true
	}
	for sequence, p := range s.pending {
		if p.class == scheduler.Item && p.queuedAt != "" {
			if r := at(p.group); r.to.VM == p.queuedAt {
				r.waits = append(r.waits, sequence)
			}
			s.reported[p.group] = true
		}
	}
	for key, since := range s.abandoned {
		if now.Sub(since) > abandonedReportTime {
			delete(s.abandoned, key)
		}
		at(key)
	}
	for key := range previous {
		at(key)
	}
	return reports
}

// groupOf returns the present group of a slot's target, which may have changed since the slot was granted.
func (s *Service) groupOf(slot *Slot) string {
	if key := s.division.Of(slot.Target); key != "" {
		return key
	}
	return slot.request.Service
}

// run returns the slot's part of a report, with what the costs of the run follow from if that is wanted.
func (s *Slot) run(now time.Time, sequence uint64, withCosts bool) scheduler.Run {
	run := scheduler.Run{
		Sequence: sequence,
		Class:    s.request.Class,
		Target:   s.Target,
		DueIn:    s.request.StartBy.Sub(now),
		Expected: s.request.Expected,
	}
	if withCosts {
		run.Age = max(now.Sub(s.granted), time.Nanosecond)
		run.PromptTokens, run.OutputTokens = s.request.PromptTokens, s.request.OutputTokens
		run.Route, run.Prefix, run.Account = s.request.Route, s.request.Prefix, s.request.Account
	}
	return run
}

// updateEngines tells the scheduler what is known of the engines of each group. The configuration may have changed.
func (s *Service) updateEngines() {
	if !s.config.Scheduler.ByCost || s.config.Engines == nil {
		return
	}
	for _, key := range s.division.Keys() {
		s.scheduler.SetEngines(key, s.config.Engines(group.ServiceOf(key)))
	}
}

func (s *Service) send(to netip.AddrPort, method peer.Method, message any) {
	if err := s.config.Node.Send(to, method, message); err != nil {
		s.config.Log.Debug().Err(err).Stringer("to", to).Str("method", string(method)).Msg("message to peer not sent")
	}
}
