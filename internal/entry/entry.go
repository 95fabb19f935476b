// Package entry assembles the process that serves callers: membership, settings, admission, the
// callers' interface, and the questions that other processes ask.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/admission/controller"
	"github.com/rosemarydyke/rosemarydyke/internal/batchapi"
	"github.com/rosemarydyke/rosemarydyke/internal/callerapi"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/evidence"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/membership"
	"github.com/rosemarydyke/rosemarydyke/internal/orders"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/requestlog"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/internal/settingsync"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Platform is what an entry uses of the platform.
type Platform interface {
	Table() platform.Table
	Objects() platform.Objects
	VMs() platform.VMList
	Weights() platform.Weights
}

// Config configures an Entry.
type Config struct {
	// Settings are the process's settings.
	Settings *config.Entry
	// Platform keeps what must last.
	Platform Platform
	// Log is the process's log.
	Log zerolog.Logger
	// Ready is set while callers may be sent here.
	Ready *atomic.Bool

	// LeaveGrace is added to the time for which callers keep addresses, for the news of the leave to
	// reach the entries that hand addresses out. Default 2s.
	LeaveGrace time.Duration
	// EntriesTTL is how long callers may keep addresses. Default 5s.
	EntriesTTL time.Duration
	// DrainTimeout bounds the wait for requests in progress. Default 15m, longer than any answer may take.
	DrainTimeout time.Duration
}

const (
	defaultLeaveGrace   = 2 * time.Second
	defaultEntriesTTL   = 5 * time.Second
	defaultDrainTimeout = 15 * time.Minute
	// closeTimeout bounds the farewell to the other processes.
	closeTimeout = 2 * time.Second
	// headerTimeout bounds the reading of a caller's request headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's connection that carries no request.
	idleTimeout = 2 * time.Minute
	// readyInterval is the time between two looks whether the entry is ready.
	readyInterval = 100 * time.Millisecond
)

func (c *Config) setDefaults() {
	if c.LeaveGrace == 0 {
		c.LeaveGrace = defaultLeaveGrace
	}
	if c.EntriesTTL == 0 {
		c.EntriesTTL = defaultEntriesTTL
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
}

// Entry is one VM's entry process.
type Entry struct {
	config   Config
	node     *peer.Node
	members  *membership.Service
	watcher  *settingsync.Watcher
	slots    *controller.Controller
	ledger   *idempotency.Ledger
	sweeper  *idempotency.Sweeper
	evidence *evidence.Service
	engine   *engine.Client
	orders   *orders.Service
	requests *requestlog.Log
	api      *callerapi.Server
	server   *http.Server
	listener net.Listener
}

// New opens the sockets and connects the parts. Nothing runs before Run.
func New(config Config) (*Entry, error) {
	config.setDefaults()
	node, err := peer.Listen(peer.Config{Address: config.Settings.Peers, TLS: config.Settings.TLS, Log: config.Log})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Settings.Callers)
	if err != nil {
		_ = node.Close(context.Background())
		return nil, err
	}
	e := &Entry{config: config, node: node, listener: listener}
	e.assemble()
	e.register()
	return e, nil
}

// Callers returns the address on which callers are served.
func (e *Entry) Callers() netip.AddrPort { return e.listener.Addr().(*net.TCPAddr).AddrPort() }

// Peers returns the address on which other processes reach this one.
func (e *Entry) Peers() netip.AddrPort { return e.node.Address() }

func (e *Entry) assemble() {
	vm := e.config.Settings.VM
	table, objects := e.config.Platform.Table(), e.config.Platform.Objects()
	e.members = membership.New(membership.Config{
		Self: e.self(),
		Node: e.node,
		VMs:  e.config.Platform.VMs(),
		Log:  e.config.Log,
	})
	e.watcher = settingsync.New(settingsync.Config{
		Store:    settingstore.New(table, objects),
		Caller:   e.node,
		Peers:    e.otherEntries,
		Announce: e.members.AnnounceRevision,
		Log:      e.config.Log,
	})
	e.members.OnRevision(func(revision uint64, from string) { e.watcher.ObserveRevision(revision, e.addressOf(from)) })
	e.slots = controller.New(controller.Config{
		VM:               vm.Name,
		AvailabilityZone: vm.AvailabilityZone,
		Members:          e.members,
		Settings:         e.watcher,
		Caller:           e.node,
		VMs:              e.config.Platform.VMs(),
		Log:              e.config.Log,
	})
	e.ledger = idempotency.New(idempotency.Config{VM: vm.Name, Table: table, Check: idempotency.PeerCheck(e.node, e.members)})
	e.sweeper = idempotency.NewSweeper(idempotency.SweeperConfig{Table: table, ShouldSweep: e.isSweeper, Log: e.config.Log})
	e.evidence = evidence.New(evidence.Config{Tracker: e.slots, Members: e.members, Caller: e.node, Table: table, Log: e.config.Log})
	e.engine = engine.New(engine.Config{})
	e.orders = orders.New(orders.Config{
		VM:      vm.Name,
		Table:   table,
		Weights: e.config.Platform.Weights(),
		Engine:  e.engine,
		Owned:   e.managedTargets,
		Ready:   e.slots,
		Log:     e.config.Log,
	})
	e.requests = requestlog.New(requestlog.Config{VM: vm.Name})
	e.api = callerapi.New(e.callersConfig())
	e.server = &http.Server{Handler: e.api, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (e *Entry) callersConfig() callerapi.Config {
	return callerapi.Config{
		VM:          e.config.Settings.VM.Name,
		Settings:    e.watcher,
		Members:     e.members,
		Admission:   e.slots,
		Engine:      e.engine,
		Idempotency: e.ledger,
		Requests:    e.requests,
		Evidence:    e.evidence,
		Log:         e.config.Log,
		EntriesTTL:  e.config.EntriesTTL,
		Batch: batchapi.New(batchapi.Config{
			Table:    e.config.Platform.Table(),
			Objects:  e.config.Platform.Objects(),
			Settings: e.watcher,
			OnCancel: e.announceCancel,
			Log:      e.config.Log,
		}),
	}
}

// managedTargets returns the managed targets that this VM owns.
func (e *Entry) managedTargets() []*settings.Target {
	var owned []*settings.Target
	current := e.watcher.Current()
	for _, info := range e.slots.Targets() {
		t := current.Targets[info.Name]
		if t != nil && t.Managed && info.Owner == e.config.Settings.VM.Name {
			owned = append(owned, t)
		}
	}
	return owned
}

// announceCancel tells the batch processes of all VMs of a cancelled job, without keeping its caller waiting.
func (e *Entry) announceCancel(ctx context.Context, id string) {
	go jobstore.AnnounceCancel(ctx, e.node, e.members.Members(), id)
}

// self describes this VM to the other members.
func (e *Entry) self() member.Member {
	s := e.config.Settings
	return member.Member{
		VM:               s.VM.Name,
		AvailabilityZone: s.VM.AvailabilityZone,
		Region:           s.VM.Region,
		Callers:          e.Callers().String(),
		EntryPeers:       e.Peers().String(),
		BatchPeers:       s.BatchPeers,
		OperatorPeers:    s.OperatorPeers,
	}
}

func (e *Entry) register() {
	e.watcher.Register(e.node)
	e.slots.Register(e.node)
	e.ledger.Register(e.node)
	e.evidence.Register(e.node)
	e.requests.Register(e.node)
	e.registerQuestions()
}

// otherEntries returns the peer addresses of the other entries.
func (e *Entry) otherEntries() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range e.members.Members() {
		if m.VM == e.config.Settings.VM.Name {
			continue
		}
		if address, err := netip.ParseAddrPort(m.EntryPeers); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// addressOf returns the peer address of a VM's entry, or the zero address.
func (e *Entry) addressOf(vm string) netip.AddrPort {
	for _, m := range e.members.Members() {
		if m.VM == vm {
			address, _ := netip.ParseAddrPort(m.EntryPeers)
			return address
		}
	}
	return netip.AddrPort{}
}

// isSweeper reports whether this VM is the first of the live members, which removes old records for all.
func (e *Entry) isSweeper() bool {
	for _, m := range e.members.Members() {
		if m.State == member.Alive {
			return m.VM == e.config.Settings.VM.Name
		}
	}
	return false
}

// Run serves until ctx ends, and then leaves without cutting off a request in progress.
func (e *Entry) Run(ctx context.Context) error {
	// The parts outlive ctx: they are needed until the last request has ended.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	if err := e.node.Start(); err != nil {
		return err
	}
	e.members.Start(running)
	e.watcher.Start(running)
	e.slots.Start(running)
	tasks.Go(func() { e.ledger.Run(running) })
	tasks.Go(func() { e.sweeper.Run(running) })
	tasks.Go(func() { e.evidence.Run(running) })
	tasks.Go(func() { e.orders.Run(running) })
	tasks.Go(func() { e.readLoads(running) })
	tasks.Go(func() { e.orders.Run(running) })
	serving := make(chan error, 1)
	go func() { serving <- e.server.Serve(e.listener) }()
	if err := e.watch(ctx, serving); err != nil {
		return errors.Join(err, e.closeNode())
	}
	return e.leave()
}

// closeNode ends the connections to other processes, after a short wait for calls in progress.
func (e *Entry) closeNode() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := e.node.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// watch keeps Ready up to date until ctx ends or serving fails.
func (e *Entry) watch(ctx context.Context, serving <-chan error) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		e.config.Ready.Store(e.watcher.Fresh())
		select {
		case <-ctx.Done():
			return nil
		case err := <-serving:
			return err
		case <-ticker.C:
		}
	}
}

// leave ends the process in order. Callers that were given this address before the leave was known
// are served until they ask again.
func (e *Entry) leave() error {
	e.config.Log.Info().Msg("leaving")
	e.config.Ready.Store(false)
	e.api.Leave()
	e.members.Leave(context.Background())
	time.Sleep(e.config.EntriesTTL + e.config.LeaveGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.config.DrainTimeout)
	defer cancel()
	drained := e.api.Drain(ctx)
	e.slots.Drain()
	stopped := e.server.Shutdown(ctx)
	e.ledger.Wait()
	farewell, end := context.WithTimeout(context.Background(), closeTimeout)
	defer end()
	e.members.Close(farewell)
	closed := e.closeNode()
	return errors.Join(drained, stopped, closed)
}
