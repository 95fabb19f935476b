// Package usage counts the online requests of client accounts against their usage limits over all VMs.
//
// Each account has one counting VM among the live ones (package usage). The VM that received a request asks it, with one
// message each way. Questions, returns and cancellations carry IDs, because messages are lost and duplicated.
package usage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/boottime"
	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

const (
	// askInterval is the time until a question is repeated, or the next VM is asked: many round trips between
	// availability zones.
	askInterval = 40 * time.Millisecond
	// maxAsks is the number of questions for one request: two to the first VM in rank and one to the next. A request is
	// held for at most maxAsks x askInterval = 120 ms.
	maxAsks = 3
	// forwardTimeout is the wait for the answer to a forwarded question: less than askInterval by several round trips.
	forwardTimeout = 20 * time.Millisecond
	// maxForwards bounds the forwarded questions that wait for an answer. Further ones are counted here.
	maxForwards = 1024
	// tickInterval is several times shorter than the gap after which buckets take the process for paused (300 ms).
	tickInterval = 50 * time.Millisecond
	// askerTime is how long a VM that asked counts as one that asks. At 2 s a VM allowed nearly the whole limit for too long
	// beside the first one in rank when a partition had ended.
	askerTime = 750 * time.Millisecond
	// maxEpisodes bounds the accounts whose beginning and end of refusals are logged.
	maxEpisodes = 1024
	// maxOrders bounds the cached choices of counting VMs: four times the planned number of accounts.
	maxOrders = 16_384
)

var (
	allowedTotal       = metrics.NewCounter(`rosemarydyke_usage_requests_total{result="allowed"}`)
	refusedTotal       = metrics.NewCounter(`rosemarydyke_usage_requests_total{result="refused"}`)
	fallbackTotal      = metrics.NewCounter(`rosemarydyke_usage_fallbacks_total`)
	overdraftsRecorded = metrics.NewCounter(`rosemarydyke_usage_overdrafts_recorded_total`)
	overdraftErrors    = metrics.NewCounter(`rosemarydyke_usage_overdraft_errors_total`)
	unansweredTotal    = metrics.NewCounter(`rosemarydyke_usage_questions_unanswered_total`)
)

// Node is the transport that the service uses.
type Node interface {
	Send(to netip.AddrPort, method peer.Method, message any) error
	HandleMessage(method peer.Method, handler datagram.MessageHandler)
}

// Config configures a Service.
type Config struct {
	Node    Node
	Members member.View
	// Accounts returns the accounts of the configuration in force and its version. The directory may be nil.
	Accounts func() (*account.Directory, uint64)
	// Expected is the number of VMs that the VM's settings name, itself included, or zero. A VM that has just started and
	// knows fewer allows a part of each limit only, because after a loss of all VMs each of them starts to count.
	Expected int
	// Store keeps overdrafts. Without it, accounts are held to token buckets.
	Store Store
	// Clock is the clock by which the use of an overdraft ends. Default: the monotonic clock.
	Clock boottime.Clock
	Log   zerolog.Logger
}

// Service counts requests, or asks the VM that does.
type Service struct {
	config  Config
	process uint64
	vm      string
	started time.Time

	mu       sync.Mutex
	sequence uint64
	buckets  *usage.Buckets
	pending  map[uint64]chan answerMessage
	forwards map[usage.ID]forward
	// askers are the times at which VMs last asked this one although it is not the first in rank.
	askers map[string]time.Time
	fleet  fleet
	// orders caches the choice of the counting VM by account until the members or their answers change.
	orders   map[string]*order
	episodes map[string]*episode
	// overdrafts are those of the accounts that this VM has counted lately.
	overdrafts map[string]*overdraft
	// records are those that were in the store at recordsAsked, after the start of this VM.
	records      map[string]overdraftRow
	recordsAsked time.Time
}

// order is the choice of the VMs that are asked about an account.
type order struct {
	usage.Ranking
	addresses []netip.AddrPort
	term      usage.Term
	// otherwise is when this VM first counted although it is not the first of the VMs.
	otherwise time.Time
}

// forward is a question that was passed on to the first VM in rank.
type forward struct {
	asker netip.AddrPort
	to    string
}

// OverLimitError means that a request is beyond the usage limit of its account. It has not run.
type OverLimitError struct {
	Account string
	Limit   account.Limit
	// CountedBy is the VM that counted, and Tokens the number of requests that the account had left there.
	CountedBy string
	Tokens    float64
	// Age is the time since the question was sent.
	Age time.Duration
	// RetryAfter is the delay after which the client should retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("account %q is beyond its usage limit of %g requests per second and a burst of %g (counted by %s, %.2f tokens left, answer %s old); retry after %s",
		e.Account, e.Limit.PerSecond, e.Limit.Burst, e.CountedBy, e.Tokens, e.Age.Round(time.Microsecond), e.RetryAfter)
}

// New returns a service, and registers its handlers at the node.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = boottime.Monotonic()
	}
	now := time.Now()
	s := &Service{
		config:   config,
		process:  rand.Uint64(),
		vm:       config.Members.Self().VM,
		started:  now,
		buckets:  usage.NewBuckets(now),
		pending:  map[uint64]chan answerMessage{},
		forwards: map[usage.ID]forward{},
		askers:   map[string]time.Time{},
		fleet:    newFleet(),
		orders:   map[string]*order{},
		episodes: map[string]*episode{},

		overdrafts: map[string]*overdraft{},
	}
	s.MembersChanged()
	handle(s, methodAsk, s.onAsk)
	handle(s, methodAnswer, s.onAnswer)
	handle(s, methodReturn, func(_ peer.Identity, m requestMessage) { s.buckets.Return(time.Now(), m.ID, m.Account) })
	handle(s, methodCancel, func(_ peer.Identity, m requestMessage) { s.buckets.Cancel(time.Now(), m.ID, m.Account) })
	return s
}

// handle registers a handler that runs while the service's mutex is held.
func handle[T any](s *Service, method peer.Method, run func(from peer.Identity, message T)) {
	s.config.Node.HandleMessage(method, func(from peer.Identity, decode func(any) error) {
		var message T
		if err := decode(&message); err != nil {
			s.config.Log.Warn().Err(err).Str("from", from.VM).Str("method", string(method)).Msg("message cannot be decoded; dropped")
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		run(from, message)
	})
}

// Run fills buckets and probes VMs that do not answer until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s.config.Store != nil {
		go s.readOverdrafts(ctx)
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.buckets.Tick(now)
	if s.share(now) < 1 {
		s.buckets.Interrupt(now)
	}
	for vm, at := range s.askers {
		if now.Sub(at) > askerTime {
			delete(s.askers, vm)
		}
	}
	s.endEpisodes(now)
	s.forgetOverdrafts(now)
	s.probe(now)
	if s.fleet.expire(now) {
		clear(s.orders)
	}
}

// MembersChanged makes the service choose the counting VMs anew.
func (s *Service) MembersChanged() {
	members, self := s.config.Members.Members(), s.config.Members.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.update(time.Now(), self, members)
	clear(s.orders)
}

// order returns the VMs that are asked about an account.
func (s *Service) order(name string) *order {
	if o := s.orders[name]; o != nil {
		return o
	}
	if len(s.orders) >= maxOrders {
		clear(s.orders)
	}
	o := &order{
		Ranking: usage.Rank(name, s.fleet.members, s.fleet.isSilent),
		term:    usage.TermOf(name, s.fleet.self, s.started, s.fleet.departed()),
	}
	for _, m := range o.VMs {
		o.addresses = append(o.addresses, s.fleet.addresses[m.VM])
	}
	s.orders[name] = o
	return o
}

func (s *Service) send(to netip.AddrPort, method peer.Method, message any) {
	if err := s.config.Node.Send(to, method, message); err != nil {
		s.config.Log.Debug().Err(err).Stringer("to", to).Str("method", string(method)).Msg("message to peer not sent")
	}
}

func (s *Service) nextID() usage.ID {
	s.sequence++
	return usage.ID{Process: s.process, Sequence: s.sequence}
}
