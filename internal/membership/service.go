// Package membership runs the membership protocol of package member between entry processes.
package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// DefaultSeedPeriod is the default interval between reads of the platform's list of VMs.
const DefaultSeedPeriod = 30 * time.Second

// seedRetryInterval is the time until the list is read again after a failed read.
const seedRetryInterval = 2 * time.Second

// leaveFlushDelay is the time for the last datagrams to be sent before the process closes its node.
const leaveFlushDelay = 50 * time.Millisecond

// Node is the transport that the service needs. *peer.Node implements it.
type Node interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
	SendDatagram(to netip.AddrPort, payload []byte) error
	HandleDatagram(handler peer.DatagramHandler)
	Verify(to netip.AddrPort)
}

// Config configures a Service.
type Config struct {
	// Self describes this VM. Its Incarnation and State are set by New.
	Self member.Member
	// Node is the entry process's transport. It must be started after New.
	Node Node
	// VMs is the platform's list of VMs, used to discover other entries. Optional.
	VMs platform.VMList
	// Seeds are peer addresses (IP:port) of other entries, in addition to VMs.
	Seeds []string
	// SeedPeriod is the interval between reads of VMs. Default 30 s.
	SeedPeriod time.Duration
	// Protocol holds the protocol's constants. Zero fields take their defaults.
	Protocol member.Config
	Log      zerolog.Logger
}

// changeLogBurst is the number of lines per second about changed members. When all VMs start together, each of them learns
// of all others within seconds; the number of members in the next line tells what was not logged.
const changeLogBurst = 8

// Service runs the membership protocol and maintains this VM's view of the members.
type Service struct {
	cfg       Config
	changeLog zerolog.Logger

	mu         sync.Mutex
	machine    *member.Machine
	members    []member.Member
	onChange   []func([]member.Member)
	onRevision []func(revision uint64, from string)
	syncing    map[string]struct{}

	// wake tells the timer that Machine.Wake may have changed.
	wake chan struct{}
	// pending holds the events that the callbacks have not received yet.
	pending callbackEvents
	// callbackSignal tells runCallbacks that pending has changed.
	callbackSignal chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
}

var _ member.View = (*Service)(nil)

// callbackEvents holds events for the callbacks. A later event replaces an earlier one of the same kind, so
// that a slow callback delays the others but still receives the latest state.
type callbackEvents struct {
	membersChanged bool
	revision       *member.RevisionLearned
}

// New returns a service and registers its handlers at the node.
func New(cfg Config) *Service {
	if cfg.SeedPeriod == 0 {
		cfg.SeedPeriod = DefaultSeedPeriod
	}
	now := time.Now()
	cfg.Self.Incarnation = member.StartIncarnation(now.UnixMilli())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg:            cfg,
		changeLog:      cfg.Log.Sample(&zerolog.BurstSampler{Burst: changeLogBurst, Period: time.Second}),
		machine:        member.New(cfg.Protocol, cfg.Self, random, now),
		syncing:        map[string]struct{}{},
		wake:           make(chan struct{}, 1),
		callbackSignal: make(chan struct{}, 1),
		ctx:            ctx,
		cancel:         cancel,
	}
	s.members = s.machine.Members()
	cfg.Node.HandleDatagram(s.received)
	cfg.Node.HandleCall(methodSync, s.handleSync)
	cfg.Node.HandleCall(methodPush, s.handlePush)
	return s
}

// Start begins to join the other members and returns immediately. The service runs until Close, or until ctx
// ends, which the others see as a crash: ctx must outlive the drain of the process.
func (s *Service) Start(ctx context.Context) {
	context.AfterFunc(ctx, s.cancel)
	s.tasks.Go(s.runTimer)
	s.tasks.Go(s.runSeeds)
	s.tasks.Go(s.runCallbacks)
}

// Members implements member.View.
func (s *Service) Members() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// Self implements member.View.
func (s *Service) Self() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Self()
}

// OnChange registers a function that is called with the current members after changes. Changes in
// quick succession may be combined into one call. It must not block for long.
func (s *Service) OnChange(f func([]member.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// OnRevision registers a function that is called when another VM announces a later settings revision
// than any known before, with that revision and the VM's name.
func (s *Service) OnRevision(f func(revision uint64, from string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRevision = append(s.onRevision, f)
}

// AnnounceRevision tells the other members that this VM has a settings revision.
func (s *Service) AnnounceRevision(revision uint64) {
	s.handle(member.RevisionKnown{Revision: revision})
}

// Leave tells the other members that this VM accepts no new work. The VM stays a member, in state
// Leaving, until Close. Leave returns after leaveFlushDelay, or when ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.handle(member.LeaveStarted{})
	s.waitForFlush(ctx)
}

// Close tells the other members that this VM has left, and stops the service. The node must be closed after it.
func (s *Service) Close(ctx context.Context) {
	s.handle(member.LeaveStarted{})
	s.handle(member.LeaveFinished{})
	s.waitForFlush(ctx)
	s.cancel()
	s.tasks.Wait()
}

func (s *Service) waitForFlush(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(leaveFlushDelay):
	}
}

// handle passes an event to the state machine and carries out the resulting actions.
func (s *Service) handle(event member.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, action := range s.machine.Handle(time.Now(), event) {
		switch a := action.(type) {
		case member.Send:
			s.send(a)
		case member.Sync:
			s.startSync(a.To)
		case member.VerifyConnection:
			if address, err := netip.ParseAddrPort(a.Address); err == nil {
				s.cfg.Node.Verify(address)
			}
		case member.RevisionLearned:
			s.publishRevision(a)
		case member.Changed:
			changed = true
		}
	}
	if changed {
		s.publishMembers()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) send(a member.Send) {
	address, err := netip.ParseAddrPort(a.To)
	if err != nil {
		return
	}
	payload, err := cbor.Marshal(a.Message)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("membership message not sent: encoding failed")
		return
	}
	if err := s.cfg.Node.SendDatagram(address, payload); err != nil {
		s.cfg.Log.Debug().Err(err).Str("address", a.To).Msg("membership message not sent")
	}
}

func (s *Service) received(from peer.Identity, payload []byte) {
	var m member.Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		s.cfg.Log.Warn().Err(err).Str("from", from.VM).Msg("membership message dropped: decoding failed")
		return
	}
	s.handle(member.Received{From: from.VM, Address: from.Address.String(), Message: m})
}

func (s *Service) publishMembers() {
	members := s.machine.Members()
	for _, m := range changedMembers(s.members, members) {
		s.changeLog.Info().Str("member", m.VM).Stringer("state", m.State).Uint64("incarnation", m.Incarnation).Int("members", len(members)).Msg("member changed")
	}
	s.members = members
	updateMetrics(members, s.machine.Score())
	s.pending.membersChanged = true
	s.signalCallbacks()
}

func (s *Service) publishRevision(a member.RevisionLearned) {
	s.pending.revision = &a
	s.signalCallbacks()
}

func (s *Service) signalCallbacks() {
	select {
	case s.callbackSignal <- struct{}{}:
	default:
	}
}

// runCallbacks calls the callbacks without holding the lock.
func (s *Service) runCallbacks() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.callbackSignal:
			s.invokeCallbacks()
		}
	}
}

func (s *Service) invokeCallbacks() {
	s.mu.Lock()
	events, members := s.pending, s.members
	s.pending = callbackEvents{}
	onChange, onRevision := s.onChange, s.onRevision
	s.mu.Unlock()
	if events.membersChanged {
		for _, f := range onChange {
			f(slices.Clone(members))
		}
	}
	if events.revision != nil {
		for _, f := range onRevision {
			f(events.revision.Revision, events.revision.From)
		}
	}
}

func (s *Service) runTimer() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
			s.handle(member.Tick{})
		}
		s.mu.Lock()
		wake := s.machine.Wake()
		s.mu.Unlock()
		timer.Reset(time.Until(wake))
	}
}
