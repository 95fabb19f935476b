// Package entry assembles the entry process of a VM, which serves callers: membership, settings, admission, the
// caller-facing API, and the RPC handlers for other processes.
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
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
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

// Platform provides the platform services that an entry uses.
type Platform interface {
	Table() platform.Table
	Objects() platform.Objects
	VMs() platform.VMList
	Weights() platform.Weights
}

// Config configures an Entry.
type Config struct {
	// Settings is the process's configuration.
	Settings *config.Entry
	// Platform provides durable storage, the list of VMs and model weights.
	Platform Platform
	// Log is the process's log.
	Log zerolog.Logger
	// Ready is set while the entry accepts callers' requests.
	Ready *atomic.Bool

	// LeaveGrace is waited in addition to EntriesTTL before the entry drains. It allows the leave to propagate to
	// the other entries, which list this one until then. Default 2s.
	LeaveGrace time.Duration
	// EntriesTTL is how long callers may cache addresses of entries. Default 5s.
	EntriesTTL time.Duration
	// DrainTimeout bounds the wait for requests in progress on shutdown. Default 15m, longer than any request may take.
	DrainTimeout time.Duration
}

const (
	defaultLeaveGrace   = 2 * time.Second
	defaultEntriesTTL   = 5 * time.Second
	defaultDrainTimeout = 15 * time.Minute
	// closeTimeout bounds the final leave message to the other processes, and the closing of peer connections.
	closeTimeout = 2 * time.Second
	// readyPollInterval is the interval at which Ready is updated.
	readyPollInterval = 100 * time.Millisecond
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

// Entry is the entry process of one VM.
type Entry struct {
	config          Config
	node            *peer.Node
	members         *membership.Service
	settingsWatcher *settingsync.Watcher
	admission       *controller.Controller
	ledger          *idempotency.Ledger
	sweeper         *idempotency.Sweeper
	evidence        *evidence.Service
	engine          *engine.Client
	orders          *orders.Service
	requests        *requestlog.Log
	api             *callerapi.Server
	server          *http.Server
	listener        net.Listener
	guard           *clientconn.Guard
}

// New opens the listening sockets and assembles the services. Nothing is served before Run.
func New(config Config) (*Entry, error) {
	config.setDefaults()
	node, err := peer.Listen(peer.Config{Address: config.Settings.Peers, TLS: config.Settings.TLS, Log: config.Log})
	if err != nil {
		return nil, err
	}
	guard := clientconn.New(config.Settings.CallerBounds(config.Log))
	listener, err := guard.Listen("tcp", config.Settings.Callers)
	if err != nil {
		_ = node.Close(context.Background())
		return nil, err
	}
	e := &Entry{config: config, node: node, listener: listener, guard: guard}
	e.assemble()
	e.register()
	return e, nil
}

// Callers returns the address on which callers are served.
func (e *Entry) Callers() netip.AddrPort { return e.listener.Addr().(*net.TCPAddr).AddrPort() }

// Peers returns the address on which other processes of the fleet reach this one.
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
	e.settingsWatcher = settingsync.New(settingsync.Config{
		Store:    settingstore.New(table, objects),
		Caller:   e.node,
		Peers:    e.otherEntryAddresses,
		Announce: e.members.AnnounceRevision,
		Log:      e.config.Log,
	})
	e.members.OnRevision(func(revision uint64, from string) { e.settingsWatcher.ObserveRevision(revision, e.entryAddress(from)) })
	e.admission = controller.New(controller.Config{
		VM:               vm.Name,
		AvailabilityZone: vm.AvailabilityZone,
		Members:          e.members,
		Settings:         e.settingsWatcher,
		Caller:           e.node,
		VMs:              e.config.Platform.VMs(),
		Log:              e.config.Log,
	})
	e.ledger = idempotency.New(idempotency.Config{VM: vm.Name, Table: table, Check: idempotency.PeerCheck(e.node, e.members)})
	e.sweeper = idempotency.NewSweeper(idempotency.SweeperConfig{Table: table, ShouldSweep: e.isSweeper, Log: e.config.Log})
	e.evidence = evidence.New(evidence.Config{Tracker: e.admission, Members: e.members, Caller: e.node, Table: table, Log: e.config.Log})
	e.engine = engine.New(engine.Config{BufferBytes: e.config.Settings.ResponseBytes()})
	e.orders = orders.New(orders.Config{
		VM:      vm.Name,
		Table:   table,
		Weights: e.config.Platform.Weights(),
		Engine:  e.engine,
		Owned:   e.managedTargets,
		Ready:   e.admission,
		Log:     e.config.Log,
	})
	e.requests = requestlog.New(requestlog.Config{VM: vm.Name})
	e.api = callerapi.New(e.apiConfig())
	e.server = e.guard.Server(e.api)
}

func (e *Entry) apiConfig() callerapi.Config {
	return callerapi.Config{
		VM:          e.config.Settings.VM.Name,
		Settings:    e.settingsWatcher,
		Members:     e.members,
		Admission:   e.admission,
		Engine:      e.engine,
		Idempotency: e.ledger,
		Requests:    e.requests,
		Evidence:    e.evidence,
		Log:         e.config.Log,
		EntriesTTL:  e.config.EntriesTTL,
		Batch: batchapi.New(batchapi.Config{
			Table:    e.config.Platform.Table(),
			Objects:  e.config.Platform.Objects(),
			Settings: e.settingsWatcher,
			OnCancel: e.announceCancel,
			Log:      e.config.Log,
		}),
	}
}

// managedTargets returns the managed targets that this VM owns.
func (e *Entry) managedTargets() []*settings.Target {
	var owned []*settings.Target
	current := e.settingsWatcher.Current()
	for _, info := range e.admission.Targets() {
		t := current.Targets[info.Name]
		if t != nil && t.Managed && info.Owner == e.config.Settings.VM.Name {
			owned = append(owned, t)
		}
	}
	return owned
}

// announceCancel notifies the batch processes of all VMs of a cancelled job, in the background.
func (e *Entry) announceCancel(ctx context.Context, id string) {
	go jobstore.AnnounceCancel(ctx, e.node, e.members.Members(), id)
}

// self returns the member record that this VM announces.
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
	e.settingsWatcher.Register(e.node)
	e.admission.Register(e.node)
	e.ledger.Register(e.node)
	e.evidence.Register(e.node)
	e.requests.Register(e.node)
	e.registerExplain()
}

// otherEntryAddresses returns the peer addresses of the other entries.
func (e *Entry) otherEntryAddresses() []netip.AddrPort {
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

// entryAddress returns the peer address of a VM's entry, or the zero address.
func (e *Entry) entryAddress(vm string) netip.AddrPort {
	for _, m := range e.members.Members() {
		if m.VM == vm {
			address, _ := netip.ParseAddrPort(m.EntryPeers)
			return address
		}
	}
	return netip.AddrPort{}
}

// isSweeper reports whether this VM is the first alive member, which is the one that removes expired records.
func (e *Entry) isSweeper() bool {
	for _, m := range e.members.Members() {
		if m.State == member.Alive {
			return m.VM == e.config.Settings.VM.Name
		}
	}
	return false
}

// Run serves until ctx ends, and then leaves without aborting requests in progress, within DrainTimeout.
func (e *Entry) Run(ctx context.Context) error {
	// The services outlive ctx, since they are needed until the last request has ended.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopTasks()
	if err := e.node.Start(); err != nil {
		return err
	}
	e.members.Start(tasksCtx)
	e.settingsWatcher.Start(tasksCtx)
	e.admission.Start(tasksCtx)
	tasks.Go(func() { e.ledger.Run(tasksCtx) })
	tasks.Go(func() { e.sweeper.Run(tasksCtx) })
	tasks.Go(func() { e.evidence.Run(tasksCtx) })
	tasks.Go(func() { e.orders.Run(tasksCtx) })
	tasks.Go(func() { e.pollLoads(tasksCtx) })
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.server.Serve(e.listener) }()
	if err := e.updateReady(ctx, serveErr); err != nil {
		return errors.Join(err, e.closeNode())
	}
	return e.leave()
}

// closeNode closes the connections to other processes, after waiting up to closeTimeout for calls in progress. It
// returns no error if these exceed closeTimeout.
func (e *Entry) closeNode() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := e.node.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// updateReady keeps Ready up to date until ctx ends or the HTTP server fails.
func (e *Entry) updateReady(ctx context.Context, serveErr <-chan error) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		e.config.Ready.Store(e.settingsWatcher.Fresh())
		select {
		case <-ctx.Done():
			return nil
		case err := <-serveErr:
			return err
		case <-ticker.C:
		}
	}
}

// leave shuts the process down gracefully. Callers that cached this entry's address before the leave was known are
// served until their cache expires.
func (e *Entry) leave() error {
	e.config.Log.Info().Msg("shutting down: leaving the fleet, then draining requests in progress")
	e.config.Ready.Store(false)
	e.api.Leave()
	e.members.Leave(context.Background())
	time.Sleep(e.config.EntriesTTL + e.config.LeaveGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.config.DrainTimeout)
	defer cancel()
	drainErr := e.api.Drain(ctx)
	e.admission.Drain()
	shutdownErr := e.server.Shutdown(ctx)
	e.ledger.Wait()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	e.members.Close(closeCtx)
	closeErr := e.closeNode()
	return errors.Join(drainErr, shutdownErr, closeErr)
}
