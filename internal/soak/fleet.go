package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// Config configures a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Targets  int
	// Clients send streams and other requests one after another, and BatchClients jobs.
	Clients, BatchClients int
	// Releases plays releases with a VM out of step instead of random faults.
	Releases bool
	// Events is the number of events of each stream.
	Events int
	// Framings are those of the targets' responses, in turn.
	Framings []Framing
	// Ingress and StandIn are the binaries, and Dir is the directory of logs.
	Ingress, StandIn, Dir string
	// Address allocates an address (IP:port) on an IP address, and Port a port that is free on all of them.
	Address func(ip string) string
	Port    func() int
}

// Framing is how the end of a target's responses is known.
type Framing string

// Framings.
const (
	Chunked            Framing = "chunked"
	Length             Framing = "length"
	EndsWithConnection Framing = "connection"
)

const (
	stopGrace = 8 * time.Second
	// leaveTime is how long a target serves after its entry says that it leaves, or is removed.
	leaveTime = 2 * time.Second
	// expiry is the silence after which a target's entry is removed.
	expiry          = 1500 * time.Millisecond
	storeRetry      = 100 * time.Millisecond
	storeTimeout    = 2 * time.Second
	maxEventPadding = 3000
)

// eventIntervals are the times between the events of targets. The longest makes items outlast the saving of their progress.
var eventIntervals = []time.Duration{8 * time.Millisecond, 25 * time.Millisecond, 120 * time.Millisecond}

// Fleet is the processes of a run.
type Fleet struct {
	config   Config
	log      zerolog.Logger
	ctx      context.Context
	stop     context.CancelFunc
	store    *platform.Store
	standIn  *node
	control  string
	vms      []*vm
	targets  []*target
	replaces sync.Mutex
	// version is the number of the version at which targets start, 0 or 1.
	version atomic.Int32
	wait    sync.WaitGroup
}

// node is a process that is started again at the same addresses.
type node struct {
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	start   func() error
}

type vm struct {
	node
	name, clients           string
	clientProxy, storeProxy *Proxy
}

type target struct {
	node
	index, starts int
	address       string
	framing       Framing
	padding       int
	interval      time.Duration
	proxy         *Proxy
	// direct means that VMs reach the target without the proxy.
	direct  bool
	id      string
	version string
}

// run starts a process whose output is appended to a log.
func (n *node) run(dir, name, binary, settings string) error {
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "--config", path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		// The log tells why a process exited.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// end stops the process, with SIGKILL after the grace period.
func (n *node) end(s syscall.Signal, grace time.Duration) {
	n.signal(s)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// StartFleet starts all processes. Close stops them.
func StartFleet(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config}
	f.ctx, f.stop = context.WithCancel(ctx)
	log, err := os.Create(filepath.Join(config.Dir, "faults.log"))
	if err != nil {
		return nil, err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	f.log = zerolog.New(zerolog.SyncWriter(log)).With().Timestamp().Logger()
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	random := rand.New(rand.NewPCG(f.config.Seed, 2))
	storeAddress := f.config.Address("127.0.0.1")
	f.control = f.config.Address("127.0.0.1")
	f.standIn = &node{}
	if err := f.standIn.run(f.config.Dir, "platform", f.config.StandIn, fmt.Sprintf("platform: %q\ncontrol: %q\n", storeAddress, f.control)); err != nil {
		return err
	}
	if err := waitForListener(storeAddress); err != nil {
		return err
	}
	f.store = platform.NewStore(storeAddress)
	if !f.put(platform.OperatorTable, platform.ConfigKey, streamtarget.Configuration) {
		return fmt.Errorf("configuration not stored")
	}
	for i := range f.config.Targets {
		t := &target{interval: eventIntervals[random.IntN(len(eventIntervals))], index: i, address: f.config.Address("127.0.0.1"), framing: f.config.Framings[i%len(f.config.Framings)], direct: random.IntN(3) == 0}
		if t.framing == EndsWithConnection {
			// A proxy that ends a connection, or accepts one for a target that is gone, would speak for the target.
			t.direct = true
		}
		if random.IntN(2) == 0 {
			t.padding = random.IntN(maxEventPadding)
		}
		var err error
		if t.proxy, err = NewProxy(t.address); err != nil {
			return err
		}
		t.start = func() error { return f.startTarget(t) }
		f.targets = append(f.targets, t)
		if err := t.start(); err != nil {
			return err
		}
		f.register(t, "ready")
	}
	port := f.config.Port()
	for i := range f.config.VMs {
		v, err := f.newVM(i, port, storeAddress)
		if err != nil {
			return err
		}
		f.vms = append(f.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := waitForListener(v.clients); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) newVM(i, port int, storeAddress string) (*vm, error) {
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	v := &vm{name: fmt.Sprintf("vm-%d", i), clients: f.config.Address(ip)}
	var err error
	if v.clientProxy, err = NewProxy(v.clients); err != nil {
		return nil, err
	}
	if v.storeProxy, err = NewProxy(storeAddress); err != nil {
		return nil, err
	}
	// Half of the seeds reuse connections to targets.
	capabilities := "health"
	if f.config.Seed%2 == 0 {
		capabilities = "health, pool"
	}
	settings := fmt.Sprintf("vm: {name: %s, availability_zone: z, region: r}\nstore: %q\nclients: %q\nready: %q\ndirectory: %q\npeers: \"%s:%d\"\nseeds: [\"127.0.0.1:1\"]\nmetrics: %q\nstop_grace: %s\nmax_ttl: 1s\nresult_retention: 600s\ncapabilities: [%s]\n",
		v.name, v.storeProxy.Address(), v.clients, f.config.Address(ip), f.config.Address(ip), ip, port, f.config.Address(ip), stopGrace, capabilities)
	v.start = func() error { return v.run(f.config.Dir, v.name, f.config.Ingress, settings) }
	return v, nil
}

// startTarget starts a target with a new ID at the version of the fleet.
func (f *Fleet) startTarget(t *target) error {
	t.starts++
	t.id, t.version = fmt.Sprintf("t%d.%d", t.index, t.starts), fmt.Sprintf("v%d", f.version.Load()+1)
	settings := fmt.Sprintf("stream_targets:\n- {id: %s, address: %q, version: %s, events: %d, interval: %s, labels_runs: true, padding: %d, run_log: %q, states_length: %t, ends_with_connection: %t}\n",
		t.id, t.address, t.version, f.config.Events, t.interval, t.padding, filepath.Join(f.config.Dir, "runs"), t.framing == Length, t.framing == EndsWithConnection)
	if err := t.run(f.config.Dir, fmt.Sprintf("target-%d", t.index), f.config.StandIn, settings); err != nil {
		return err
	}
	return waitForListener(t.address)
}

func waitForListener(address string) error {
	for started := time.Now(); time.Since(started) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// register writes a target's entry.
func (f *Fleet) register(t *target, state string) {
	address := t.proxy.Address()
	if t.direct {
		address = t.address
	}
	f.put(platform.TargetTable, t.id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":%q,"slots":16,"state":%q}`, address, t.version, state))
}

func (f *Fleet) unregister(id string) {
	f.apply(store.RowTxn{Deletes: []store.RowKey{{Table: platform.TargetTable, Key: id}}})
}

func (f *Fleet) put(table, key, value string) bool {
	return f.apply(store.RowTxn{Writes: []store.RowWrite{{RowKey: store.RowKey{Table: table, Key: key}, Value: []byte(value)}}})
}

// apply repeats a transaction until the store accepts it or the run ends.
func (f *Fleet) apply(txn store.RowTxn) bool {
	for f.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(f.ctx, storeTimeout)
		_, err := f.store.Apply(ctx, txn)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(storeRetry)
	}
	return false
}

// Close ends all processes.
func (f *Fleet) Close() {
	f.stop()
	f.wait.Wait()
	nodes := []*node{}
	for _, v := range f.vms {
		nodes = append(nodes, &v.node)
		v.clientProxy.Close()
		v.storeProxy.Close()
	}
	for _, t := range f.targets {
		nodes = append(nodes, &t.node)
		t.proxy.Close()
	}
	for _, n := range append(nodes, f.standIn) {
		if n != nil && n.command != nil {
			n.end(syscall.SIGKILL, stopGrace)
		}
	}
}

// runs reads the log of the targets' runs.
func (f *Fleet) runs() ([]Run, error) {
	content, err := os.ReadFile(filepath.Join(f.config.Dir, "runs"))
	if err != nil {
		return nil, err
	}
	var runs []Run
	for line := range strings.Lines(string(content)) {
		var r Run
		if _, err := fmt.Sscan(line, &r.Target, &r.Run, &r.Request, &r.After); err != nil {
			return nil, fmt.Errorf("log of runs: line %q: %w", line, err)
		}
		runs = append(runs, r)
	}
	return runs, nil
}
