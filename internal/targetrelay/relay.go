// Package targetrelay connects VMs to targets, by way of other VMs where a VM's own path is broken (package reach), and connects
// to targets in place of other VMs.
package targetrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/reach"
)

var (
	relayedConnections = metrics.NewCounter(`rosemarydyke_target_connections_relayed_total`)
	servedConnections  = metrics.NewCounter(`rosemarydyke_target_connections_served_total`)
)

const (
	// attemptTimeout bounds each attempt to connect by way of another VM, which dials for up to 150 ms.
	attemptTimeout = 250 * time.Millisecond
	// checkTimeout bounds a check of the direct path: many round trips between availability zones.
	checkTimeout = 40 * time.Millisecond
)

// Peer is another live VM.
type Peer struct {
	VM string
	// Address is where the VM accepts connections from other VMs (IP:port).
	Address string
}

// Config configures a Relay.
type Config struct {
	// Dial connects to a target directly.
	Dial platform.DialFunc
	// Peers returns the other live VMs.
	Peers func() []Peer
	// Usable reports whether an address is that of a registered target that takes requests.
	Usable func(address string) bool
	Log    zerolog.Logger
}

// Relay implements platform.Dialer.
type Relay struct {
	config   Config
	client   *http.Transport
	draining atomic.Bool

	mu    sync.Mutex
	paths *reach.Paths
	// cutOff is the last logged state of the paths.
	cutOff bool
}

var _ platform.Dialer = (*Relay)(nil)

// New returns a relay.
func New(config Config) *Relay {
	return &Relay{
		config: config,
		client: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		paths:  reach.New(reach.Config{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// SetTargets makes the relay forget the targets and VMs that are gone, given the addresses of the registered targets.
func (r *Relay) SetTargets(addresses []string) {
	peers := r.config.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Retain(
		func(address string) bool { return slices.Contains(addresses, address) },
		func(vm string) bool { return slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == vm }) },
	)
}

// Drain makes the relay refuse to connect in place of other VMs, which try a third one.
func (r *Relay) Drain() { r.draining.Store(true) }

// attemptResult is how an attempt to connect ended.
type attemptResult struct {
	attempt reach.Attempt
	conn    net.Conn
	err     error
}

// DialTarget connects to a target by the first path that works. It fails with *reach.PathError if that says nothing about the
// target.
func (r *Relay) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	peers := r.config.Peers()
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.VM
	}
	r.mu.Lock()
	plan := r.paths.Plan(time.Now(), address, names)
	r.mu.Unlock()
	race := &race{relay: r, address: address, peers: peers, results: make(chan attemptResult, len(plan))}
	return race.run(ctx, plan)
}

// race tries the attempts of a plan until one connects.
type race struct {
	relay   *Relay
	address string
	peers   []Peer
	results chan attemptResult
	running []reach.Attempt
	// witnesses is the number of VMs that failed to connect although their own paths work.
	witnesses int
	errs      []error
}

func (c *race) run(ctx context.Context, plan []reach.Attempt) (net.Conn, error) {
	relayCtx, cancelRelays := context.WithCancel(ctx)
	defer cancelRelays()
	defer c.abandon()
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for len(plan) > 0 || len(c.running) > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			if len(plan) > 0 {
				c.start(ctx, relayCtx, plan[0])
				plan = plan[1:]
			}
		case result := <-c.results:
			c.running = slices.DeleteFunc(c.running, func(a reach.Attempt) bool { return a == result.attempt })
			if result.err == nil {
				c.finish(result.attempt)
				return result.conn, nil
			}
			c.fail(result)
			if len(c.running) == 0 && len(plan) > 0 {
				c.start(ctx, relayCtx, plan[0])
				plan = plan[1:]
			}
		}
		if len(plan) > 0 {
			timer.Reset(time.Until(began.Add(plan[0].After)))
		}
	}
	return nil, c.judge()
}

func (c *race) start(ctx, relayCtx context.Context, a reach.Attempt) {
	c.running = append(c.running, a)
	go func() {
		result := attemptResult{attempt: a}
		if a.Via == reach.Direct {
			result.conn, result.err = c.relay.dialDirect(ctx, c.address)
		} else {
			result.conn, result.err = c.relay.dialVia(relayCtx, c.peers[slices.IndexFunc(c.peers, func(p Peer) bool { return p.VM == a.Via })], c.address)
		}
		c.results <- result
	}()
}

// finish records the path that connected, and that earlier ones were slower.
func (c *race) finish(won reach.Attempt) {
	now := time.Now()
	if won.Via != reach.Direct {
		relayedConnections.Inc()
	}
	c.relay.record(func(p *reach.Paths) {
		if won.Via != reach.Direct {
			p.RecordRelay(now, won.Via, reach.RelayConnected)
		}
		for _, a := range c.running {
			switch {
			case a.After >= won.After:
			case a.Via == reach.Direct:
				p.RecordFailed(now, c.address)
			default:
				p.RecordRelay(now, a.Via, reach.RelayFailed)
			}
		}
	})
}

// abandon closes what attempts in progress open yet. A direct one still shows whether its path works.
func (c *race) abandon() {
	pending := len(c.running)
	go func() {
		for range pending {
			if late := <-c.results; late.err == nil {
				_ = late.conn.Close()
			}
		}
	}()
}

func (c *race) fail(result attemptResult) {
	c.errs = append(c.errs, result.err)
	if result.attempt.Via == reach.Direct {
		return
	}
	var unreachable *unreachableError
	switch {
	case errors.As(result.err, &unreachable) && unreachable.witness:
		c.witnesses++
	case unreachable != nil && unreachable.unusable:
	default:
		c.relay.record(func(p *reach.Paths) { p.RecordRelay(time.Now(), result.attempt.Via, reach.RelayFailed) })
	}
}

// judge returns the error of a race in which no attempt connected.
func (c *race) judge() error {
	cause := errors.Join(c.errs...)
	blamed := false
	c.relay.record(func(p *reach.Paths) { blamed = p.JudgeUnreachable(c.address, c.witnesses, len(c.peers)) })
	if !blamed {
		cause = &reach.PathError{Cause: cause}
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// dialDirect connects directly and records whether the path works.
func (r *Relay) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := r.config.Dial(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			r.record(func(p *reach.Paths) { p.RecordFailed(time.Now(), address) })
		}
		return nil, err
	}
	r.record(func(p *reach.Paths) { p.RecordConnected(time.Now(), address) })
	return &directConn{Conn: conn, relay: r, address: address}, nil
}

// PathWorks checks the direct path to a target that is silent, so that the silence can be told from that of the path. It reports
// true if ctx ends before the check.
func (r *Relay) PathWorks(ctx context.Context, address string) bool {
	if r.PathBroken(address) {
		return false
	}
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := r.config.Dial(checkCtx, address)
	if ctx.Err() != nil {
		if err == nil {
			_ = conn.Close()
		}
		return true
	}
	if err != nil {
		r.record(func(p *reach.Paths) { p.RecordFailed(time.Now(), address) })
		return false
	}
	_ = conn.Close()
	r.record(func(p *reach.Paths) { p.RecordConnected(time.Now(), address) })
	return true
}

// PathBroken implements platform.Dialer.
func (r *Relay) PathBroken(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.Broken(address)
}

// record changes the paths, and logs whether the VM is cut off.
func (r *Relay) record(change func(*reach.Paths)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.paths)
	cutOff := r.paths.CutOff()
	if cutOff == r.cutOff {
		return
	}
	r.cutOff = cutOff
	if cutOff {
		r.config.Log.Warn().Msg("direct connections to several targets failed and none works; connecting by way of other VMs, and not reporting these targets as failed")
		return
	}
	r.config.Log.Info().Msg("a direct connection to a target works again")
}

// directConn is a connection without another VM.
type directConn struct {
	net.Conn
	relay   *Relay
	address string
}

// NetConn returns the connection itself, whose state can be checked.
func (c *directConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. A connection that breaks while its path is known to be broken says nothing about the target.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var failure *net.OpError
	if errors.As(err, &failure) && !errors.Is(err, net.ErrClosed) && c.relay.PathBroken(c.address) {
		err = &reach.PathError{Cause: err}
	}
	return n, err
}

// unreachableError means that another VM could not connect to the target.
type unreachableError struct {
	vm string
	// witness means that the other VM's paths work as far as it knows.
	witness bool
	// unusable means that it did not try, because its registry does not list the address as that of a target to use.
	unusable bool
	reason   string
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("VM %q cannot connect to the target (its own paths work: %v): %s", e.vm, e.witness, e.reason)
}
