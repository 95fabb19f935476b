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

// DefaultSeedPeriod is the time between two readings of the platform's list of VMs.
const DefaultSeedPeriod = 30 * time.Second

// seedRetry is the time to the next reading after one that failed.
const seedRetry = 2 * time.Second

// farewellPause lets the last datagrams leave before the process closes its node.
const farewellPause = 50 * time.Millisecond

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
	// Node is the entry process's transport. It is started after New.
	Node Node
	// VMs is the platform's list, from which other entries are found. Optional.
	VMs platform.VMList
	// Seeds are peer addresses (IP:port) of other entries, in addition to VMs.
	Seeds []string
	// SeedPeriod is the time between two readings of VMs. Default 30 s.
	SeedPeriod time.Duration
	// Protocol holds the protocol's constants. Zero fields take their defaults.
	Protocol member.Config
	// Log receives what membership finds.
	Log zerolog.Logger
}

// Service keeps this VM's view of the members.
type Service struct {
	cfg Config

	mu         sync.Mutex
	machine    *member.Machine
	members    []member.Member
	onChange   []func([]member.Member)
	onRevision []func(revision uint64, from string)
	syncing    map[string]struct{}

	// wake tells the timer that Machine.Wake may have changed.
	wake chan struct{}
	// pending is what the callbacks have not been told yet.
	pending pending
	// notices tells runNotices that pending has changed.
	notices chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

var _ member.View = (*Service)(nil)

// pending is news for the callbacks. Later news replaces earlier, so that a slow callback delays
// the others but misses nothing that still holds.
type pending struct {
	view     bool
	revision *member.RevisionLearned
}

// New registers the service's handlers at the node.
func New(cfg Config) *Service {
	if cfg.SeedPeriod == 0 {
		cfg.SeedPeriod = DefaultSeedPeriod
	}
	now := time.Now()
	cfg.Self.Incarnation = member.StartIncarnation(now.UnixMilli())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg:     cfg,
		machine: member.New(cfg.Protocol, cfg.Self, random, now),
		syncing: map[string]struct{}{},
		wake:    make(chan struct{}, 1),
		notices: make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
	}
	s.members = s.machine.Members()
	cfg.Node.HandleDatagram(s.received)
	cfg.Node.HandleCall(methodSync, s.handleSync)
	cfg.Node.HandleCall(methodPush, s.handlePush)
	return s
}

// Start joins the other members and returns at once. The service runs until Close, or until ctx
// ends, which looks like a crash to the others: ctx must outlive the drain of the process.
func (s *Service) Start(ctx context.Context) {
	context.AfterFunc(ctx, s.cancel)
	s.tasks.Go(s.runTimer)
	s.tasks.Go(s.runSeeds)
	s.tasks.Go(s.runNotices)
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

// OnChange registers a function that is called with the newest members after changes. Changes in
// quick succession may share one call. It must not block for long.
func (s *Service) OnChange(f func([]member.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// OnRevision registers a function that is called with the latest settings revision that another VM
// is found to know, whenever it rises.
func (s *Service) OnRevision(f func(revision uint64, from string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRevision = append(s.onRevision, f)
}

// AnnounceRevision tells the other members that this VM knows a settings revision.
func (s *Service) AnnounceRevision(revision uint64) {
	s.handle(member.RevisionKnown{Revision: revision})
}

// Leave tells the other members that this VM takes no new work. The VM stays a member, in state
// Leaving, until Close. It returns when the news has left for the first of them, or when ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.handle(member.LeaveStarted{})
	s.pause(ctx)
}

// Close tells the other members that this VM is gone, and ends the service. The node is closed after it.
func (s *Service) Close(ctx context.Context) {
	s.handle(member.LeaveStarted{})
	s.handle(member.LeaveFinished{})
	s.pause(ctx)
	s.cancel()
	s.tasks.Wait()
}

func (s *Service) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(farewellPause):
	}
}

// handle feeds the machine and carries out its actions.
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
		case member.Doubt:
			if address, err := netip.ParseAddrPort(a.Address); err == nil {
				s.cfg.Node.Verify(address)
			}
		case member.RevisionLearned:
			s.noticeRevision(a)
		case member.Changed:
			changed = true
		}
	}
	if changed {
		s.noticeChange()
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
		s.cfg.Log.Error().Err(err).Msg("membership message cannot be encoded")
		return
	}
	if err := s.cfg.Node.SendDatagram(address, payload); err != nil {
		s.cfg.Log.Debug().Err(err).Str("address", a.To).Msg("membership message not sent")
	}
}

func (s *Service) received(from peer.Identity, payload []byte) {
	var m member.Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		s.cfg.Log.Warn().Err(err).Str("from", from.VM).Msg("membership message cannot be decoded")
		return
	}
	s.handle(member.Received{From: from.VM, Address: from.Address.String(), Message: m})
}

func (s *Service) noticeChange() {
	members := s.machine.Members()
	for _, m := range changes(s.members, members) {
		s.cfg.Log.Info().Str("member", m.VM).Stringer("state", m.State).Uint64("incarnation", m.Incarnation).Msg("member changed")
	}
	s.members = members
	record(members, s.machine.Score())
	s.pending.view = true
	s.notice()
}

func (s *Service) noticeRevision(a member.RevisionLearned) {
	s.pending.revision = &a
	s.notice()
}

func (s *Service) notice() {
	select {
	case s.notices <- struct{}{}:
	default:
	}
}

// runNotices calls the callbacks, off the lock.
func (s *Service) runNotices() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.notices:
			s.callBack()
		}
	}
}

func (s *Service) callBack() {
	s.mu.Lock()
	news, members := s.pending, s.members
	s.pending = pending{}
	onChange, onRevision := s.onChange, s.onRevision
	s.mu.Unlock()
	if news.view {
		for _, f := range onChange {
			f(slices.Clone(members))
		}
	}
	if news.revision != nil {
		for _, f := range onRevision {
			f(news.revision.Revision, news.revision.From)
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
