// Package origins finds out which software version of a service began a stream that a client resumes at any VM.
//
// The VM at which a stream begins tells two other VMs, chosen by rendezvous hashing of the attempt's ID, so that the
// origin survives the loss of the VM, which is a common reason for a client to return. No VM keeps more than its share.
//
// What has to survive the loss of all VMs is in the store: the versions of each service (Record), and, while a stream may
// have begun at one of several, the origins of recent streams.
package origins

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
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
	// confirmTimeout bounds the time to ask while this VM knows a single version, in case it learns of another one late.
	confirmTimeout = 25 * time.Millisecond
	// loadTimeout bounds the time for which a resumption waits for a VM that has just started: long compared with a read of the
	// store, short compared with the pause that the client sees anyway.
	loadTimeout = 300 * time.Millisecond
	// startTime is how long after its start a VM is expected to load.
	startTime = time.Second
)

var (
	// ErrUnknown means that a stream may have begun at one of several versions, and that its origin was not kept.
	ErrUnknown = errors.New("no VM knows which version began the stream, nor does the store, and several serve or served lately")
	// ErrNotRead means that the origin may be in the store, which could not be read.
	ErrNotRead = errors.New("no VM knows which version began the stream, and the store was not read")
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
	// Service is the service whose only version is asked for, too.
	Service string `cbor:"2,keyasint,omitempty"`
	// Stored asks a VM to look in the store, too.
	Stored bool `cbor:"3,keyasint,omitempty"`
}

type findResponse struct {
	Known  bool          `cbor:"1,keyasint,omitempty"`
	Origin origin.Origin `cbor:"2,keyasint"`
	// Sole means that all streams of the service began at SoleVersion.
	Sole        bool   `cbor:"3,keyasint,omitempty"`
	SoleVersion string `cbor:"4,keyasint,omitempty"`
	// StoreRead means that the VM has looked in the store.
	StoreRead bool `cbor:"5,keyasint,omitempty"`
	// SoleBefore means that all streams of the service began at VersionBefore that are older than the VM's process, and that all
	// VMs it has known since are alive.
	SoleBefore    bool   `cbor:"6,keyasint,omitempty"`
	VersionBefore string `cbor:"7,keyasint,omitempty"`
	// Mixed means that the VM knows of several versions at which streams of the service can have begun.
	Mixed bool `cbor:"8,keyasint,omitempty"`
	// Incarnation is that of the VM that answers. Earlier builds don't state it.
	Incarnation uint64 `cbor:"9,keyasint,omitempty"`
}

// Config configures a Service.
type Config struct {
	Members member.View
	Node    Node
	Rows    platform.Rows
	// OnTargets is called with the targets that may begin streams after each change.
	OnTargets func([]routing.Target)
	Log       zerolog.Logger
}

// Service records and finds the origins of streams. It is safe for concurrent use.
type Service struct {
	config Config
	// changed wakes the task that keeps the record of versions.
	changed chan struct{}
	// loaded is closed once the records and the registry have been read.
	loaded  chan struct{}
	started time.Time
	stored  *storedOrigins

	// publishMu orders the calls of OnTargets.
	publishMu sync.Mutex
	// published is what OnTargets was called with last, nil before.
	published []routing.Target

	mu      sync.Mutex
	ledger  *origin.Ledger
	history *origin.History
	// confirmation is the last read of the records on behalf of resumptions.
	confirmation confirmation
	targets      []routing.Target
	// records says what is known of the record of each service.
	records       map[string]*recordState
	recordsRead   bool
	registryKnown bool
	// incarnations holds the VMs that were alive, and vmLost says that one of them is not any more.
	incarnations map[string]uint64
	vmLost       bool
}

// New returns a service, and registers its handlers at the node. Nothing runs before Run.
func New(config Config) *Service {
	s := &Service{
		config:       config,
		changed:      make(chan struct{}, 1),
		loaded:       make(chan struct{}),
		started:      time.Now(),
		ledger:       origin.NewLedger(),
		history:      origin.NewHistory(time.Now()),
		records:      map[string]*recordState{},
		incarnations: map[string]uint64{},
	}
	s.stored = newStoredOrigins(config, s.collector)
	config.Node.HandleMessage(methodRecord, s.onRecord)
	config.Node.HandleMessage(methodStore, s.onStore)
	config.Node.HandleCall(methodFind, s.onFind)
	return s
}

// Run keeps the record of versions, and writes origins to the store, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.keepRecords(ctx) })
	tasks.Go(func() { s.stored.run(ctx) })
	tasks.Wait()
}

// MembersChanged learns which VMs are lost.
func (s *Service) MembersChanged(members []member.Member) {
	s.mu.Lock()
	alive := map[string]uint64{}
	for _, m := range members {
		if m.State == member.Alive || m.State == member.Suspect {
			alive[m.VM] = m.Incarnation
		}
	}
	for vm, incarnation := range s.incarnations {
		if current, present := alive[vm]; !present || current != incarnation {
			s.vmLost = true
		}
	}
	s.incarnations = alive
	s.mu.Unlock()
	s.stored.resubmit()
}

// Record records where the stream of an attempt began, here and at other VMs. splitRoute means that the route has several
// services, so that the versions of one don't tell the origin.
func (s *Service) Record(attempt string, o origin.Origin, splitRoute bool) {
	attempt = origin.Key(attempt)
	s.put(attempt, o)
	for _, to := range s.peers(attempt, replicas) {
		if err := s.config.Node.Send(to, methodRecord, recordMessage{Attempt: attempt, Origin: o}); err != nil {
			s.config.Log.Debug().Err(err).Str("attempt", attempt).Stringer("to", to).Msg("origin of a stream not sent to peer; other copies remain")
		}
	}
	s.mu.Lock()
	ambiguous := splitRoute || s.history.Mixed(time.Now(), o.Service)
	s.mu.Unlock()
	s.stored.began(attempt, o, ambiguous)
}

// Resolve returns where the stream of an attempt began. An origin that no VM kept is read from the store. If it is not there, or if
// the client did not name the attempt, it is the only version at which streams of the service can have begun, if there is one.
// onlyService means that the stream can't have begun at another service. It fails with ErrUnknown or ErrNotRead.
func (s *Service) Resolve(ctx context.Context, attempt, service string, onlyService bool) (origin.Origin, error) {
	attempt = origin.Key(attempt)
	s.awaitLoad(ctx)
	s.mu.Lock()
	now := time.Now()
	local, known := s.ledger.Get(now, attempt)
	version, single, certain := s.history.Sole(now, service)
	s.mu.Unlock()
	certain = certain && onlyService
	if known {
		originsFound.Inc()
		return s.checkVersion(local, certain)
	}
	outdated := certain && !s.confirmSole(ctx, service, version)
	certain = certain && !outdated
	sole := origin.Origin{Service: service, Version: version}
	switch {
	case attempt == "" && certain:
		return sole, nil
	case attempt == "":
		return origin.Origin{}, ErrUnknown
	}
	answer := s.ask(ctx, findRequest{Attempt: attempt, Service: service, Stored: !certain})
	switch {
	case answer.Known:
		originsFound.Inc()
		return s.checkVersion(answer.Origin, certain)
	case certain:
		return sole, nil
	case onlyService && !outdated && answer.Sole && answer.SoleVersion == version && s.confirmOf(ctx, now, service, version, answer):
		return sole, nil
	}
	if version, sole := s.soleBefore(service, answer); sole && onlyService && answer.all && answer.StoreRead {
		return origin.Origin{Service: service, Version: version}, nil
	}
	originsUnknown.Inc()
	err := ErrUnknown
	if !answer.StoreRead {
		err = ErrNotRead
	}
	s.config.Log.Info().Err(err).Str("attempt", attempt).Str("service", service).Bool("only_version", single).Bool("split_route", !onlyService).Bool("all_answered", answer.all).
		Bool("store_read", answer.StoreRead).Msg("origin of a stream not found; it is not resumed")
	return origin.Origin{}, err
}

// awaitLoad waits for a VM that has just started to learn which versions have served.
func (s *Service) awaitLoad(ctx context.Context) {
	select {
	case <-s.loaded:
		return
	default:
	}
	timer := time.NewTimer(min(loadTimeout, time.Until(s.started.Add(startTime))))
	defer timer.Stop()
	select {
	case <-s.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// checkVersion fails for a target without a version, unless all others have none either: any version could go on.
func (s *Service) checkVersion(o origin.Origin, certain bool) (origin.Origin, error) {
	if o.Version == "" && !certain {
		return origin.Origin{}, ErrUnknown
	}
	return o, nil
}

// soleBefore returns the version at which all streams began that no VM knows, as far as this VM or one that answered can tell:
// they are older than its process, since all VMs that it has known are alive.
func (s *Service) soleBefore(service string, answer answers) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, incarnation := range answer.incarnations {
		// The VM has restarted, which this VM has not been told yet, and may have lost the origin.
		if s.incarnations[vm] != incarnation {
			return "", false
		}
	}
	if version, sole := s.soleAtStart(service); sole {
		return version, true
	}
	return answer.VersionBefore, answer.SoleBefore && !s.vmLost
}

// soleAtStart returns the version at which all streams began that are older than this process, unless a VM was lost since.
// s.mu must be held.
func (s *Service) soleAtStart(service string) (string, bool) {
	version, sole := s.history.SoleAtStart(time.Now(), service)
	return version, sole && !s.vmLost
}

// Knows reports whether this VM knows by itself where the stream of an attempt began.
func (s *Service) Knows(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.ledger.Get(time.Now(), attempt)
	return known
}

// answers is what the asked VMs know together.
type answers struct {
	findResponse
	// asked is the number of VMs that were asked, and all means that all of them responded.
	asked int
	all   bool
	// differ means that one of them knows of several versions, or of another one than another VM, and sole that all that responded
	// are certain of a single version.
	differ, sole bool
	// incarnations holds those of the VMs that responded and stated it.
	incarnations map[string]uint64
}

// ask asks other VMs for the origin of an attempt until one knows it. If the store is to be read, the collector of the
// attempt does so, or else this VM.
func (s *Service) ask(ctx context.Context, request findRequest) answers {
	timeout := confirmTimeout
	if request.Stored {
		timeout = findTimeout
	}
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Questions about no attempt are spread over the fleet.
	peers := s.rankedPeers(cmp.Or(request.Attempt, s.config.Members.Self().VM), asked)
	type reply struct {
		findResponse
		vm  string
		err error
		// fromStore means that the reply says nothing but what the store holds of the attempt.
		fromStore bool
	}
	replies := make(chan reply, len(peers)+1)
	call := func(ctx context.Context, to rankedPeer, request findRequest) {
		var response findResponse
		err := s.config.Node.Call(ctx, to.address, methodFind, request, &response)
		if err != nil {
			s.config.Log.Debug().Err(err).Str("attempt", request.Attempt).Stringer("from", to.address).Msg("peer does not say where a stream began; others are asked too")
		}
		replies <- reply{findResponse: response, vm: to.vm, err: err}
	}
	expected := len(peers)
	for _, to := range peers {
		go call(askCtx, to, findRequest{Attempt: request.Attempt, Service: request.Service})
	}
	if request.Stored {
		expected++
		go func() {
			response, err := s.askStore(ctx, request)
			replies <- reply{findResponse: response, err: err, fromStore: true}
		}()
	}
	result := answers{asked: len(peers), all: true, sole: true, incarnations: map[string]uint64{}}
	for range expected {
		r := <-replies
		if r.Known {
			return answers{findResponse: r.findResponse}
		}
		result.all = result.all && r.err == nil
		if r.Incarnation != 0 && !r.fromStore {
			result.incarnations[r.vm] = r.Incarnation
		}
		result.StoreRead = result.StoreRead || r.StoreRead
		if r.err == nil && !r.fromStore {
			result.sole = result.sole && r.Sole
			result.differ = result.differ || r.Mixed || r.Sole && result.Sole && r.SoleVersion != result.SoleVersion
		}
		if r.Sole {
			result.Sole, result.SoleVersion = true, r.SoleVersion
		}
		if r.SoleBefore {
			result.SoleBefore, result.VersionBefore = true, r.VersionBefore
		}
	}
	return result
}

// rankedPeer is another VM with its rank for a key.
type rankedPeer struct {
	rank    uint64
	vm      string
	address netip.AddrPort
}

// peers returns the first other VMs in the order of rendezvous hashing of a key.
func (s *Service) peers(key string, n int) []netip.AddrPort {
	ranked := s.rankedPeers(key, n)
	addresses := make([]netip.AddrPort, len(ranked))
	for i, r := range ranked {
		addresses[i] = r.address
	}
	return addresses
}

func (s *Service) rankedPeers(key string, n int) []rankedPeer {
	byRank := func(a, b rankedPeer) int { return cmp.Compare(b.rank, a.rank) }
	best := make([]rankedPeer, 0, n+1)
	self := s.config.Members.Self().VM
	for _, m := range s.config.Members.Members() {
		if m.VM == self || m.State != member.Alive && m.State != member.Suspect {
			continue
		}
		address, err := netip.ParseAddrPort(m.EntryPeers)
		if err != nil {
			continue
		}
		candidate := rankedPeer{target.Rank(key, m.VM), m.VM, address}
		index, _ := slices.BinarySearchFunc(best, candidate, byRank)
		if index < n {
			best = slices.Insert(best, index, candidate)
			best = best[:min(n, len(best))]
		}
	}
	return best
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

func (s *Service) onFind(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var m findRequest
	if err := decode(&m); err != nil {
		return nil, err
	}
	incarnation := s.config.Members.Self().Incarnation
	s.mu.Lock()
	now := time.Now()
	o, known := s.ledger.Get(now, m.Attempt)
	response := findResponse{Known: known, Origin: o, Incarnation: incarnation}
	if m.Service != "" {
		response.SoleVersion, _, response.Sole = s.history.Sole(now, m.Service)
		response.Mixed = s.history.Mixed(now, m.Service)
		response.VersionBefore, response.SoleBefore = s.soleAtStart(m.Service)
	}
	s.mu.Unlock()
	if !known && m.Stored {
		response.Origin, response.Known, response.StoreRead = s.stored.find(ctx, m.Attempt)
	}
	return response, nil
}
