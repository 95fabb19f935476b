// Package scheduling connects the VMs to the schedulers that grant slots.
//
// Each service has one coordinator among the live VMs, by rendezvous hashing. Every VM runs a
// scheduler, so a coordinator that dies is replaced without an election: the next VM in rank learns
// what runs from the reports of the others. Two coordinators for a moment grant too many slots,
// which makes requests wait inside the targets, and nothing worse.
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
	// submitInterval is the time between two sends of a request for a slot: long beside a round trip
	// between availability zones, short beside the latency objective of a request.
	submitInterval = 40 * time.Millisecond
	// renewInterval is the time after which a queued online request is submitted again: a fraction of the
	// scheduler's WaitLease. Items are renewed by the reports, as many of them wait for long.
	renewInterval = 150 * time.Millisecond
	// silentSends is the number of sends without an answer after which a coordinator is passed over.
	silentSends = 3
	// reportInterval is the time between two reports to a coordinator.
	reportInterval = 250 * time.Millisecond
	// vmLease is the silence after which a coordinator forgets a VM: several reports.
	vmLease = 2 * time.Second
	// tickInterval is the time between two looks at the queues of a coordinator.
	tickInterval = 25 * time.Millisecond
	// distrustFor is how long a silent coordinator is passed over the first time; it doubles up to maxDistrust.
	distrustFor = time.Second
	maxDistrust = 4 * time.Second
	// noRegistryRetry is when a client should come back if no VM has read the registry: outages of the store take seconds.
	noRegistryRetry = time.Second
)

// Node is the transport that the service needs.
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
	// Process names this start of this VM's process. It is unique among all starts.
	Process string
	// AvailabilityZone is where this VM runs.
	AvailabilityZone string
	Node             Node
	Members          member.View
	// Usable reports whether a target may get work as far as this VM knows. Coordinators that are cut off
	// from the registry grant slots of targets that are leaving.
	Usable    func(target string) bool
	Scheduler scheduler.Config
	Log       zerolog.Logger
}

// Service asks coordinators for slots, and is the coordinator of some services itself.
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
	// registered says that the registry of targets has been read. A VM that starts while the store is away knows none.
	registered bool
	distrust   map[string]*distrust
	// sentReports counts reports to a coordinator since it was last heard of.
	sentReports map[string]int
}

// reporter is a VM as a coordinator knows it.
type reporter struct {
	address netip.AddrPort
	heard   time.Time
}

type distrust struct {
	until time.Time
	next  time.Duration
}

// pending is a request that waits for an answer of a coordinator.
type pending struct {
	answers chan answer
	class   scheduler.Class
	// queuedAt is the coordinator that has the request in its queue, if any.
	queuedAt string
}

// answer is a grant, a refusal, the news that the coordinator does not know the request or, when none of these is set,
// that the request is queued.
type answer struct {
	from    string
	grant   *grantMessage
	refuse  *refuseMessage
	unknown bool
}

// New registers the service's handlers at the node.
func New(config Config) *Service {
	s := &Service{
		config:      config,
		scheduler:   scheduler.New(config.Scheduler, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		vms:         map[string]*reporter{},
		pending:     map[uint64]*pending{},
		runs:        map[uint64]*Slot{},
		distrust:    map[string]*distrust{},
		sentReports: map[string]int{},
	}
	s.register()
	return s
}

// Run reports and ticks until ctx ends.
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
	s.registered = true
	s.services = s.services[:0]
	for _, t := range targets {
		if !slices.Contains(s.services, t.Service) {
			s.services = append(s.services, t.Service)
		}
	}
	s.carryOut(s.scheduler.SetTargets(time.Now(), targets))
}

// Loads returns the state of the services as this VM's scheduler knows it.
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
		if now.Sub(r.heard) > vmLease {
			delete(s.vms, vm)
			s.config.Log.Info().Str("process", vm).Dur("silent_ms", now.Sub(r.heard)).Msg("slots of a silent VM are freed")
			s.carryOut(s.scheduler.VMGone(now, vm))
		}
	}
	s.carryOut(s.scheduler.Tick(now))
}

// report tells the coordinators of all services what this VM runs.
func (s *Service) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	runs := s.reportedRuns(now)
	told := map[string]bool{}
	for _, service := range s.services {
		c := s.coordinator(now, service)
		if told[c.VM] {
			continue
		}
		told[c.VM] = true
		waits := s.reportedWaits(c.VM)
		if c.VM == s.config.Members.Self().VM {
			actions, unknown := s.scheduler.Report(now, s.config.Process, runs, waits)
			s.carryOut(actions)
			s.unknown(c.VM, unknown)
			continue
		}
		if s.sentReports[c.VM]++; s.sentReports[c.VM] > silentSends {
			s.passOver(now, c.VM, "it does not answer")
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

// reportedWaits are the items in the queue of a coordinator.
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
		s.config.Log.Debug().Err(err).Stringer("to", to).Str("method", string(method)).Msg("message not sent")
	}
}
