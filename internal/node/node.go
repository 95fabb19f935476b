// Package node assembles the ingress process of one VM, which serves clients on the users' platform.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/connreuse"
	"github.com/rosemarydyke/rosemarydyke/drain"
	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/internal/batchjobs"
	"github.com/rosemarydyke/rosemarydyke/internal/boottime"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/discovery"
	"github.com/rosemarydyke/rosemarydyke/internal/evidence"
	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/membership"
	"github.com/rosemarydyke/rosemarydyke/internal/origins"
	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/storerelay"
	"github.com/rosemarydyke/rosemarydyke/internal/targetrelay"
	"github.com/rosemarydyke/rosemarydyke/internal/usage"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// addressTTL is how long clients may cache the addresses of VMs. Some cache them for three times the TTL,
	// which has to fit into the grace period of a shutdown.
	addressTTL = 1500 * time.Millisecond
	// cachedTTLs is the longest time for which clients cache addresses, as a multiple of the TTL.
	cachedTTLs = 3
	// itemMemoryShare is the share of the VM's memory for the items of jobs.
	itemMemoryShare = 0.15
	// headMemoryShare is the share of the VM's memory for the heads of all jobs.
	headMemoryShare = 0.1
	// leaveTimeout bounds the deregistration and the last messages to the other VMs.
	leaveTimeout = 300 * time.Millisecond
	// quarantineCrashes is the number of targets that must break off a request before it is quarantined. Targets
	// also break off harmless requests, but not three in a row.
	quarantineCrashes = 3
	// evidenceInterval is the interval between checks for crash evidence to send to the other VMs.
	evidenceInterval = 100 * time.Millisecond
	// seedPeriod is the interval at which the VMs' rows are read from the store.
	seedPeriod = 5 * time.Second
)

// Node is the ingress process of one VM.
type Node struct {
	settings     *config.Ingress
	log          zerolog.Logger
	store        *platform.Store
	rows         *storerelay.Relay
	transport    *datagram.Node
	members      *membership.Service
	registry     *vmRegistry
	slots        *scheduling.Service
	usage        *usage.Service
	discovery    *discovery.Service
	jobs         *batchjobs.Service
	evidence     *evidence.Service
	origins      *origins.Service
	ingress      *ingress.Server
	leaving      atomic.Bool
	servers      []*http.Server
	relay        *targetrelay.Relay
	clientServer *http.Server
	guard        *clientconn.Guard
	relayServer  *http.Server
	listeners    []net.Listener
	// dialTarget connects to a target directly.
	dialTarget platform.DialFunc
	targets    *platform.TargetClient
	// liveVMs is the number of VMs that are alive, this one included.
	liveVMs atomic.Int64
}

// New opens the sockets and wires the components. Nothing runs before Run.
func New(settings *config.Ingress, log zerolog.Logger) (*Node, error) {
	return newNode(settings, log, platform.DialTarget)
}

func newNode(settings *config.Ingress, log zerolog.Logger, dialTarget platform.DialFunc) (*Node, error) {
	transport, err := datagram.Listen(settings.Peers, settings.VM.Name, log)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: settings, log: log, transport: transport, store: platform.NewStore(settings.Store), dialTarget: dialTarget}
	n.guard = clientconn.New(clientconn.Config{
		Memory:      settings.ClientMemoryMB << 20,
		Connections: settings.ClientConnections,
		Limits:      n.clientLimits,
		Log:         log,
	})
	n.assemble()
	if err := n.listen(); err != nil {
		return nil, errors.Join(err, transport.Close())
	}
	return n, nil
}

// membershipConfig is tuned to detect a lost VM within seconds: clients that are given the address of a lost VM
// wait on a connection that hangs.
var membershipConfig = member.Config{
	Period:          500 * time.Millisecond,
	AckTimeout:      150 * time.Millisecond,
	SuspicionFactor: 2,
	SuspicionSpread: 2,
	Confirmations:   1,
	GossipPeriod:    100 * time.Millisecond,
	SyncPeriod:      5 * time.Second,
	RejoinPeriod:    time.Second,
	// VMs that start together find each other within the latency objective of a request (300 ms on the reference
	// deployments).
	JoinPeriod: 50 * time.Millisecond,
	JoinTime:   3 * time.Second,
}

func (n *Node) assemble() {
	s := n.settings
	n.rows = storerelay.New(storerelay.Config{Direct: n.store, Node: n.transport, Peers: n.otherPeers, Log: n.log})
	n.registry = &vmRegistry{rows: n.rows, self: s.VM.Name, peers: s.Peers, zone: s.VM.AvailabilityZone, log: n.log}
	n.members = membership.New(membership.Config{
		Self: member.Member{
			VM:               s.VM.Name,
			AvailabilityZone: s.VM.AvailabilityZone,
			Region:           s.VM.Region,
			Callers:          s.Clients,
			EntryPeers:       s.Peers,
			Millicores:       s.Millicores(),
		},
		Node:       n.transport,
		VMs:        n.registry,
		Seeds:      seedPeers(s),
		SeedPeriod: seedPeriod,
		Protocol:   membershipConfig,
		Log:        n.log,
	})
	process := s.VM.Name + "/" + strconv.FormatUint(uint64(rand.Uint32()), 36)
	revocation := account.Revocation{Bound: s.KeyRevocation}
	n.discovery = discovery.New(discovery.Config{
		Rows: n.rows,
		OnTargets: func(targets []routing.Target) {
			n.origins.SetTargets(targets)
			addresses := make([]string, len(targets))
			for i, t := range targets {
				addresses[i] = t.Address
			}
			n.relay.SetTargets(addresses)
			n.targets.SetTargets(targets)
		},
		Node:       n.transport,
		Peers:      n.otherPeers,
		Clock:      boottime.Now,
		Revocation: revocation,
		Log:        n.log,
	})
	n.slots = scheduling.New(scheduling.Config{
		Process:          process,
		AvailabilityZone: s.VM.AvailabilityZone,
		Node:             n.transport,
		Members:          n.members,
		Usable:           n.discovery.Usable,
		Scheduler:        scheduler.Config{ByCost: slices.Contains(s.Capabilities, platform.CapabilityHealth)},
		Engines:          n.engines,
		Log:              n.log,
	})
	n.usage = usage.New(usage.Config{
		Node:     n.transport,
		Members:  n.members,
		Accounts: n.accounts,
		Expected: len(s.Seeds),
		Store:    n.rows,
		Clock:    boottime.Now,
		Log:      n.log,
	})
	n.members.OnChange(func(members []member.Member) {
		n.countLiveVMs(members)
		n.slots.MembersChanged()
		n.usage.MembersChanged()
		n.origins.MembersChanged(members)
	})
	n.relay = targetrelay.New(targetrelay.Config{Dial: n.dialTarget, Peers: n.relayPeers, Usable: n.discovery.UsableAddress, Log: n.log})
	targets := platform.NewTargetClient(targetObserver{n}, n.relay)
	if slices.Contains(s.Capabilities, platform.CapabilityConnections) {
		targets.ReuseConnections(n.connectionShare)
	}
	targets.LimitBuffered(intake.ResponseMemory(s.MemoryMB<<20), intake.EventMemory(s.MemoryMB<<20))
	n.targets = targets
	tracker := evidence.NewSharedTracker(quarantine.Config{
		CrashThreshold: quarantineCrashes,
		Attribution:    quarantine.AttributionConfig{Random: rand.Float64},
	})
	n.jobs = batchjobs.New(batchjobs.Config{
		VM:              s.VM.Name,
		Rows:            n.rows,
		Members:         n.members,
		Configuration:   n.discovery,
		Slots:           n.slots,
		Targets:         targets,
		Quarantine:      tracker,
		Node:            n.transport,
		ResultRetention: s.ResultRetention,
		HeadMemory:      int64(headMemoryShare * float64(s.MemoryMB<<20)),
		ItemMemory:      int64(itemMemoryShare * float64(s.MemoryMB<<20)),
		TextMemory:      intake.TextMemory(s.MemoryMB << 20),
		Log:             n.log,
	})
	n.evidence = evidence.New(evidence.Config{
		Tracker:  tracker,
		Members:  n.members,
		Caller:   n.transport,
		Table:    store.NewTable(n.rows),
		Log:      n.log,
		Interval: evidenceInterval,
	})
	n.evidence.Register(n.transport)
	n.origins = origins.New(origins.Config{Members: n.members, Node: n.transport, Rows: n.rows, OnTargets: n.slots.SetTargets, Log: n.log})
	n.ingress = ingress.New(ingress.Config{
		Configuration: n.discovery,
		Slots:         n.slots,
		Targets:       targets,
		Jobs:          n.jobs,
		Quarantine:    tracker,
		Origins:       n.origins,
		Usage:         n.usage,
		Revocation:    revocation,
		Log:           n.log,
	})
}

// clientLimits returns the limits of the configuration in force for what a client sends.
func (n *Node) clientLimits() clientconn.Limits {
	table := n.discovery.Current()
	if table == nil {
		return clientconn.Limits{}
	}
	l := table.Limits
	return clientconn.Limits{HeadBytes: l.HeaderBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// accounts returns the client accounts of the configuration in force and its version.
func (n *Node) accounts() (*account.Directory, uint64) {
	table := n.discovery.Current()
	if table == nil {
		return nil, 0
	}
	return table.Accounts, table.Version
}

// engines returns what the configuration states about the engines of a service, or nil if its targets are not engines.
func (n *Node) engines(service string) *scheduler.EngineInfo {
	table := n.discovery.Current()
	if table == nil {
		return nil
	}
	s := table.Services[service]
	if s.Slots <= 0 && s.MemoryTokens <= 0 {
		return nil
	}
	return &scheduler.EngineInfo{MemoryTokens: s.MemoryTokens}
}

// targetObserver passes on what targets state about themselves.
type targetObserver struct{ node *Node }

// TargetLeaving keeps this VM from sending further requests to a target that is leaving, and tells its coordinator.
func (o targetObserver) TargetLeaving(target string) {
	if started, news := o.node.discovery.MarkLeaving(target); news {
		o.node.slots.ReportLeaving(target, started)
	}
}

// TargetRateLimit records the rate limit of a target.
func (o targetObserver) TargetRateLimit(target string, perSecond float64, err error) {
	if err != nil {
		o.node.log.Warn().Err(err).Str("target", target).Msg("rate limit that the target states is invalid; the previous one stays in force")
		return
	}
	o.node.slots.ObserveRateLimit(target, perSecond)
}

// countLiveVMs records the number of VMs that share the connections to a target.
func (n *Node) countLiveVMs(members []member.Member) {
	live := int64(0)
	for _, m := range members {
		if m.State == member.Alive {
			live++
		}
	}
	n.liveVMs.Store(live)
}

// connectionShare returns how many connections this VM may have to each target of a service.
func (n *Node) connectionShare(service string) int {
	table := n.discovery.Current()
	if table == nil {
		return 0
	}
	return connreuse.Share(table.Services[service].MaxConns, int(n.liveVMs.Load()))
}

// seedPeers returns the peer addresses of the seeds. All VMs use the same peer port.
func seedPeers(s *config.Ingress) []string {
	_, port, err := net.SplitHostPort(s.Peers)
	if err != nil {
		return nil
	}
	var peers []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if address := net.JoinHostPort(host, port); err == nil && address != s.Peers {
			peers = append(peers, address)
		}
	}
	return peers
}

// otherPeers returns the peer addresses of the other live VMs.
func (n *Node) otherPeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range n.members.Members() {
		if m.VM == n.settings.VM.Name || m.State != member.Alive {
			continue
		}
		if address, err := netip.ParseAddrPort(m.EntryPeers); err == nil {
			peers = append(peers, address)
		}
	}
	return peers
}

// relayPeers returns the other live VMs, which accept TCP connections where they accept datagrams.
func (n *Node) relayPeers() []targetrelay.Peer {
	var peers []targetrelay.Peer
	for _, m := range n.members.Members() {
		if m.VM != n.settings.VM.Name && m.State == member.Alive {
			peers = append(peers, targetrelay.Peer{VM: m.VM, Address: m.EntryPeers})
		}
	}
	return peers
}

func (n *Node) listen() error {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.PathReady, n.serveReady)
	directoryMux := http.NewServeMux()
	directoryMux.HandleFunc("GET "+platform.PathResolve, n.serveDirectory)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Clients, n.ingress},
		{n.settings.Ready, readyMux},
		{n.settings.Directory, directoryMux},
		{n.settings.Metrics, metricsMux},
		{n.settings.Peers, n.relay},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := n.guard.Listen("tcp4", h.address)
		if err != nil {
			return err
		}
		server := n.guard.Server(h.handler)
		n.servers = append(n.servers, server)
		n.listeners = append(n.listeners, listener)
		switch h.address {
		case n.settings.Clients:
			n.clientServer = server
		case n.settings.Peers:
			n.relayServer = server
		}
	}
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || n.discovery.Current() == nil || !n.discovery.Listed() {
		platform.WriteText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	platform.WriteText(w, http.StatusOK, "ready")
}

// serveDirectory lists the live VMs, including this one unless it is leaving or its configuration is getting too old to accept
// API keys.
func (n *Node) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	unlisted := n.leaving.Load() || !n.discovery.Listed()
	listed := slices.DeleteFunc(n.members.Members(), func(m member.Member) bool {
		return m.State != member.Alive || m.VM == n.settings.VM.Name && unlisted
	})
	addresses := sampleAddresses(listed, platform.MaxAddresses, rand.Float64)
	if len(addresses) == 0 {
		platform.WriteText(w, http.StatusServiceUnavailable, "no VM takes requests")
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(addressTTL, n.settings.MaxTTL)); err != nil {
		n.log.Debug().Err(err).Msg("address response not written; the client gets no addresses")
	}
}

// Reload applies the only setting that may change while the process runs: the address of the store. Changed seeds
// take effect at the next start only, since a running VM already knows the others.
func (n *Node) Reload(fresh *config.Ingress) {
	n.store.SetAddress(fresh.Store)
	n.log.Info().Str("store", fresh.Store).Strs("seeds", fresh.Seeds).Msg("settings reloaded")
}

// Run serves until ctx ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info().Str("clients", n.settings.Clients).Str("peers", n.settings.Peers).Str("store", n.settings.Store).
		Str("availability_zone", n.settings.VM.AvailabilityZone).Msg("process started")
	// The components outlive ctx: they are needed until the last request has ended.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	n.transport.Start()
	n.members.Start(runCtx)
	tasks.Go(func() { n.registry.register(runCtx, n.log) })
	tasks.Go(func() { n.slots.Run(runCtx) })
	tasks.Go(func() { n.usage.Run(runCtx) })
	tasks.Go(func() { n.discovery.Run(runCtx) })
	tasks.Go(func() { n.jobs.Run(runCtx) })
	tasks.Go(func() { n.evidence.Run(runCtx) })
	tasks.Go(func() { n.origins.Run(runCtx) })
	serveErrors := make(chan error, len(n.servers))
	for i, server := range n.servers {
		go func() { serveErrors <- server.Serve(n.listeners[i]) }()
	}
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	n.leave()
	return nil
}

// leave shuts down gracefully: clients that have cached this VM's address are served or refused until their cache entries expire.
func (n *Node) leave() {
	started := time.Now()
	plan := drain.New(started, n.settings.StopGrace, cachedTTLs*addressTTL)
	n.log.Info().Dur("grace_ms", n.settings.StopGrace).Dur("listen_ms", plan.ListenUntil.Sub(started)).Dur("answer_ms", plan.AnswerBy.Sub(started)).
		Msg("shutting down: this VM is no longer listed in the directory")
	n.leaving.Store(true)
	n.ingress.Drain(plan)
	n.relay.Drain()
	n.members.Leave(context.Background())
	n.jobs.Leave(context.Background())
	time.Sleep(time.Until(plan.ListenUntil))
	ctx, cancel := context.WithDeadline(context.Background(), plan.ExitBy)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range []*http.Server{n.clientServer, n.relayServer} {
		shutdowns.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				n.log.Warn().Err(err).Msg("shutdown deadline exceeded; requests in progress are cut off")
			}
		})
	}
	shutdowns.Wait()
	n.targets.CloseConnections()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	n.registry.deregister(leaveCtx, n.log)
	n.members.Close(leaveCtx)
	if err := n.transport.Close(); err != nil {
		n.log.Debug().Err(err).Msg("peer socket not closed")
	}
	n.log.Info().Dur("took_ms", time.Since(started)).Msg("process stopped")
}
