// Package scheduling connects the VMs to the schedulers that grant slots.
//
// Each service has one coordinator among the live VMs, chosen by rendezvous hashing. Every VM runs a scheduler, so a
// failed coordinator is replaced without an election: the next VM in rank learns the runs in progress from the
// reports of the others. While two VMs briefly coordinate the same service, they grant too many slots; the only effect
// is that requests wait inside the targets.
package scheduling

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
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
	Log       zerolog.Logger
}

// Service requests slots from coordinators, and coordinates some services itself.
type Service struct {
	config Config

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// vms are the VMs that report to this one.
	vms      map[string]*reporter
	next     uint64
	pending  map[uint64]*pending
	runs     map[uint64]*Slot
	services []string
	// hasRegistry means that the registry of targets has been read. A VM that starts during an outage of the store
	// knows no targets.
	hasRegistry bool
	backoffs    map[string]*backoff
	// unansweredReports counts the reports to a coordinator since its last response.
	unansweredReports map[string]int
}

// reporter is a VM that reports to this coordinator.
type reporter struct {
	address  netip.AddrPort
	lastSeen time.Time
}

type backoff struct {
	until time.Time
	next  time.Duration
}

// pending is a request that waits for a response of a coordinator.
type pending struct {
	responses chan response
	class     scheduler.Class
	// queuedAt is the coordinator that has queued the request, if any.
	queuedAt string
}

// response is a grant, a refusal or a notice that the coordinator does not know the request. If none of these is set,
// the request is queued.
type response struct {
	from    string
	grant   *grantMessage
	refuse  *refuseMessage
	unknown bool
}

// New returns a service, and registers its handlers at the node.
func New(config Config) *Service {
	s := &Service{
		config:            config,
		scheduler:         scheduler.New(config.Scheduler, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		vms:               map[string]*reporter{},
		pending:           map[uint64]*pending{},
		runs:              map[uint64]*Slot{},
		backoffs:          map[string]*backoff{},
		unansweredReports: map[string]int{},
	}
	s.register()
	return s
}

// Run sends reports and ticks the scheduler until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick, report := time.NewTicker(tickInterval), time.NewTicker(reportInterval)
	defer tick.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tick()
		case <-report.C:
			s.report()
		}
	}
}

// SetTargets replaces the registered targets.
func (s *Service) SetTargets(targets []routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasRegistry = true
	s.services = s.services[:0]
	for _, t := range targets {
		if !slices.Contains(s.services, t.Service) {
			s.services = append(s.services, t.Service)
		}
	}
	s.execute(s.scheduler.SetTargets(time.Now(), targets))
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
			s.config.Log.Info().Str("process", vm).Dur("silent_ms", now.Sub(r.lastSeen)).Msg("VM sends no reports; its slots are released")
			s.execute(s.scheduler.RemoveVM(now, vm))
		}
	}
	s.execute(s.scheduler.Tick(now))
}

// report tells the coordinators of all services the runs of this VM.
func (s *Service) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	runs := s.reportedRuns(now)
	reported := map[string]bool{}
	for _, service := range s.services {
		c := s.coordinator(now, service)
		if reported[c.VM] {
			continue
		}
		reported[c.VM] = true
		waits := s.reportedWaits(c.VM)
		if c.VM == s.config.Members.Self().VM {
			actions, unknown := s.scheduler.Report(now, s.config.Process, runs, waits)
			s.execute(actions)
			s.onUnknown(c.VM, unknown)
			continue
		}
		if s.unansweredReports[c.VM]++; s.unansweredReports[c.VM] > maxUnansweredSends {
			s.startBackoff(now, c.VM, "it does not respond")
		}
		s.send(c.address, methodReport, reportMessage{VM: s.config.Process, Runs: runs, Waits: waits})
	}
}

func (s *Service) reportedRuns(now time.Time) []scheduler.Run {
	runs := make([]scheduler.Run, 0, len(s.runs))
	for sequence, slot := range s.runs {
		runs = append(runs, scheduler.Run{
			Sequence: sequence,
			Class:    slot.request.Class,
			Target:   slot.Target,
			DueIn:    slot.request.StartBy.Sub(now),
			Expected: slot.request.Expected,
		})
	}
	return runs
}

// reportedWaits returns the items that a coordinator has queued.
func (s *Service) reportedWaits(coordinator string) []uint64 {
	var waits []uint64
	for sequence, p := range s.pending {
		if p.class == scheduler.Item && p.queuedAt == coordinator {
			waits = append(waits, sequence)
		}
	}
	return waits
}

func (s *Service) send(to netip.AddrPort, method peer.Method, message any) {
	if err := s.config.Node.Send(to, method, message); err != nil {
		s.config.Log.Debug().Err(err).Stringer("to", to).Str("method", string(method)).Msg("message to peer not sent")
	}
}
