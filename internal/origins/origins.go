// Package origins finds out which software version of a service began a stream that a client takes up at any VM.
//
// The VM at which a stream begins tells two other VMs, chosen by rendezvous hashing of the attempt's ID, so that the
// origin survives the loss of the VM, which is a common reason for a client to return. No VM keeps more than its share.
package origins

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	methodRecord peer.Method = "origins.record"
	methodFind   peer.Method = "origins.find"

	// replicas is the number of other VMs that are told an origin.
	replicas = 2
	// asked is the number of VMs that are asked for an origin. It exceeds replicas, because VMs may have come or gone since
	// the stream began, and because the VM where it began may be among them.
	asked = 4
	// findTimeout bounds the time to ask: two transmissions between availability zones. A VM that was lost a moment ago
	// does not answer.
	findTimeout = 100 * time.Millisecond
)

var (
	originsFound   = metrics.NewCounter(`rosemarydyke_origins_found_total`)
	originsUnknown = metrics.NewCounter(`rosemarydyke_origins_unknown_total`)
)

// Node is the transport to the other VMs.
type Node interface {
	Send(to netip.AddrPort, method peer.Method, message any) error
	HandleMessage(method peer.Method, handler datagram.MessageHandler)
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
}

// recordMessage tells a VM where a stream began. If it is lost, the other copies remain.
type recordMessage struct {
	Attempt string        `cbor:"1,keyasint"`
	Origin  origin.Origin `cbor:"2,keyasint"`
}

type findRequest struct {
	Attempt string `cbor:"1,keyasint"`
}

type findResponse struct {
	Known  bool          `cbor:"1,keyasint,omitempty"`
	Origin origin.Origin `cbor:"2,keyasint"`
}

// Config configures a Service.
type Config struct {
	Members member.View
	Node    Node
	Log     zerolog.Logger
}

// Service records and finds the origins of streams. It is safe for concurrent use.
type Service struct {
	config Config

	mu      sync.Mutex
	ledger  *origin.Ledger
	history *origin.History
}

// New returns a service, and registers its handlers at the node.
func New(config Config) *Service {
	s := &Service{config: config, ledger: origin.NewLedger(), history: origin.NewHistory()}
	config.Node.HandleMessage(methodRecord, s.onRecord)
	config.Node.HandleCall(methodFind, s.onFind)
	return s
}

// SetTargets replaces the registered targets.
func (s *Service) SetTargets(targets []routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.SetTargets(time.Now(), targets)
}

// Record records where the stream of an attempt began, here and at other VMs.
func (s *Service) Record(attempt string, o origin.Origin) {
	s.put(attempt, o)
	for _, to := range s.peers(attempt, replicas) {
		if err := s.config.Node.Send(to, methodRecord, recordMessage{Attempt: attempt, Origin: o}); err != nil {
			s.config.Log.Debug().Err(err).Str("attempt", attempt).Stringer("to", to).Msg("origin of a stream not sent to peer; other copies remain")
		}
	}
}

// Resolve returns where the stream of an attempt began. If no VM knows, or if the client did not name the attempt, it is the
// only version of the service, provided that there is one. onlyService means that the stream can't have begun at another service.
func (s *Service) Resolve(ctx context.Context, attempt, service string, onlyService bool) (origin.Origin, bool) {
	s.mu.Lock()
	now := time.Now()
	local, known := s.ledger.Get(now, attempt)
	version, sole, certain := s.history.Sole(now, service)
	s.mu.Unlock()
	if known {
		originsFound.Inc()
		return local, true
	}
	if attempt == "" || certain && onlyService {
		return origin.Origin{Service: service, Version: version}, sole
	}
	if o, found := s.ask(ctx, attempt); found {
		originsFound.Inc()
		return o, true
	}
	originsUnknown.Inc()
	s.config.Log.Info().Str("attempt", attempt).Str("service", service).Str("version", version).Bool("only_version", sole).
		Msg("no VM knows where a stream began; it is resumed only if the service has a single version")
	return origin.Origin{Service: service, Version: version}, sole
}

// Knows reports whether this VM knows by itself where the stream of an attempt began.
func (s *Service) Knows(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.ledger.Get(time.Now(), attempt)
	return known
}

// ask returns the first answer of a VM that knows the origin of an attempt.
func (s *Service) ask(ctx context.Context, attempt string) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := s.peers(attempt, asked)
	answers := make(chan findResponse, len(peers))
	for _, to := range peers {
		go func() {
			var response findResponse
			if err := s.config.Node.Call(ctx, to, methodFind, findRequest{Attempt: attempt}, &response); err != nil {
				s.config.Log.Debug().Err(err).Str("attempt", attempt).Stringer("from", to).Msg("peer does not say where a stream began; others are asked too")
			}
			answers <- response
		}()
	}
	for range peers {
		if answer := <-answers; answer.Known {
			return answer.Origin, true
		}
	}
	return origin.Origin{}, false
}

// peers returns the first other VMs in the order of rendezvous hashing of an attempt's ID.
func (s *Service) peers(attempt string, n int) []netip.AddrPort {
	type ranked struct {
		rank    uint64
		address netip.AddrPort
	}
	byRank := func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) }
	best := make([]ranked, 0, n+1)
	self := s.config.Members.Self().VM
	for _, m := range s.config.Members.Members() {
		if m.VM == self || m.State != member.Alive && m.State != member.Suspect {
			continue
		}
		address, err := netip.ParseAddrPort(m.EntryPeers)
		if err != nil {
			continue
		}
		candidate := ranked{target.Rank(attempt, m.VM), address}
		index, _ := slices.BinarySearchFunc(best, candidate, byRank)
		if index < n {
			best = slices.Insert(best, index, candidate)
			best = best[:min(n, len(best))]
		}
	}
	addresses := make([]netip.AddrPort, len(best))
	for i, r := range best {
		addresses[i] = r.address
	}
	return addresses
}

func (s *Service) put(attempt string, o origin.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Put(time.Now(), attempt, o)
}

func (s *Service) onRecord(from peer.Identity, decode func(any) error) {
	var m recordMessage
	if err := decode(&m); err != nil {
		s.config.Log.Warn().Err(err).Str("from", from.VM).Msg("origin of a stream not decoded; dropped")
		return
	}
	s.put(m.Attempt, m.Origin)
}

func (s *Service) onFind(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var m findRequest
	if err := decode(&m); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.ledger.Get(time.Now(), m.Attempt)
	return findResponse{Known: known, Origin: o}, nil
}
