// Package storerelay relays calls of the platform's store through other VMs while the store does not serve this one.
package storerelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// directRetryInterval is how long calls are relayed after a direct call failed, before a direct call is tried again.
	directRetryInterval = 800 * time.Millisecond
	// relayTimeout bounds a relayed call, in addition to the time for which the store may hold it.
	relayTimeout = 600 * time.Millisecond
	// maxRelayRows bounds the rows of a relayed page, and maxRelayBytes its size: larger messages sent as
	// datagrams are lost too often.
	maxRelayRows  = 50
	maxRelayBytes = 200_000
)

const (
	methodRead   peer.Method = "store.read"
	methodFollow peer.Method = "store.follow"
	methodApply  peer.Method = "store.apply"
)

var relayedCalls = metrics.NewCounter(`rosemarydyke_store_calls_relayed_total`)

// Node is the transport that the relay needs.
type Node interface {
	Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error
	HandleCall(method peer.Method, handler peer.CallHandler)
}

// Config configures a Relay.
type Config struct {
	// Direct is the direct connection of this VM to the store.
	Direct platform.Rows
	Node   Node
	// Peers returns the addresses of the other live VMs.
	Peers func() []netip.AddrPort
	Log   zerolog.Logger
}

// Relay implements platform.Rows with direct calls, and falls back to relaying through another VM.
type Relay struct {
	config Config
	// directDownUntil is when a direct call is tried again, in nanoseconds since started. Zero means that the last direct
	// call did not find the store unavailable.
	directDownUntil atomic.Int64
	started         time.Time
}

var _ platform.Rows = (*Relay)(nil)

// New returns a relay and registers its handlers at the node.
func New(config Config) *Relay {
	r := &Relay{config: config, started: time.Now()}
	config.Node.HandleCall(methodRead, r.serveRead)
	config.Node.HandleCall(methodFollow, r.serveFollow)
	config.Node.HandleCall(methodApply, r.serveApply)
	return r
}

// directDown reports whether a direct call failed within directRetryInterval.
func (r *Relay) directDown() bool { return int64(time.Since(r.started)) < r.directDownUntil.Load() }

// recordDirectResult records whether a direct call succeeded.
func (r *Relay) recordDirectResult(ctx context.Context, err error) {
	switch {
	case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown):
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return
		}
		if r.directDownUntil.Swap(int64(time.Since(r.started)+directRetryInterval)) == 0 {
			r.config.Log.Warn().Err(err).Msg("direct store call failed, relaying calls through other VMs")
		}
	case r.directDownUntil.Swap(0) != 0:
		r.config.Log.Info().Msg("direct store calls work again")
	}
}

// callPeer calls a random peer.
func (r *Relay) callPeer(ctx context.Context, wait time.Duration, method peer.Method, request, response any) error {
	peers := r.config.Peers()
	if len(peers) == 0 {
		return fmt.Errorf("%w: no other VM is known", platform.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	relayedCalls.Inc()
	err := r.config.Node.Call(ctx, peers[rand.IntN(len(peers))], method, request, response)
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return fmt.Errorf("relayed: %w: %w", decodeCode(remote.Code), err)
	}
	return err
}

// Read implements platform.Rows.
func (r *Relay) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	relay := func() (platform.Page, error) {
		var response platform.Page
		err := r.callPeer(ctx, 0, methodRead, readRequest{Table: table, Part: part, Keys: keys}, &response)
		return response, unansweredAsUnavailable(err)
	}
	direct := func() (platform.Page, error) { return r.config.Direct.Read(ctx, table, part, keys) }
	return r.readWithFallback(ctx, direct, relay)
}

// Follow implements platform.Rows.
func (r *Relay) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	relay := func() (platform.Page, error) {
		var response platform.Page
		err := r.callPeer(ctx, wait, methodFollow, followRequest{Table: table, After: after, Wait: wait}, &response)
		return response, unansweredAsUnavailable(err)
	}
	direct := func() (platform.Page, error) { return r.config.Direct.Follow(ctx, table, after, wait) }
	return r.readWithFallback(ctx, direct, relay)
}

// readWithFallback calls the store directly, or through a peer while directDown holds, and tries the other of the two
// if the store is unavailable.
func (r *Relay) readWithFallback(ctx context.Context, direct, relay func() (platform.Page, error)) (platform.Page, error) {
	began := time.Now()
	if r.directDown() {
		page, err := relay()
		if err == nil || !errors.Is(err, platform.ErrUnavailable) {
			return page, err
		}
		// The time 1 is past, so that direct calls are tried again, but not zero, so that their success is logged.
		r.directDownUntil.CompareAndSwap(r.directDownUntil.Load(), 1)
	}
	delay := time.Since(began)
	page, err := direct()
	page.Delay = delay
	r.recordDirectResult(ctx, err)
	if errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil {
		delay = time.Since(began)
		relayed, relayErr := relay()
		relayed.Delay = delay
		if relayErr == nil || errors.Is(relayErr, platform.ErrHistoryLost) {
			return relayed, relayErr
		}
	}
	return page, err
}

// unansweredAsUnavailable maps the error of a relayed read without a response to ErrUnavailable.
func unansweredAsUnavailable(err error) error {
	var unanswered *peer.UnansweredError
	if errors.As(err, &unanswered) {
		return fmt.Errorf("relayed: %w: %w", platform.ErrUnavailable, err)
	}
	return err
}

// Apply implements platform.Rows.
func (r *Relay) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if !r.directDown() {
		version, err := r.config.Direct.Apply(ctx, txn)
		r.recordDirectResult(ctx, err)
		if !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
			return version, err
		}
	}
	version, err := r.relayApply(ctx, txn)
	if !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
		return version, err
	}
	version, err = r.config.Direct.Apply(ctx, txn)
	r.recordDirectResult(ctx, err)
	return version, err
}

func (r *Relay) relayApply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if valueBytes(txn) > maxRelayBytes {
		return 0, fmt.Errorf("%w: transaction is too large to be relayed", platform.ErrUnavailable)
	}
	var response applyResponse
	err := r.callPeer(ctx, 0, methodApply, txn, &response)
	var unanswered *peer.UnansweredError
	if errors.As(err, &unanswered) {
		return 0, fmt.Errorf("relayed: %w: %w", platform.ErrOutcomeUnknown, err)
	}
	if err == nil && response.Conflict {
		return 0, &platform.RowConflictError{Rows: response.Rows}
	}
	return response.Version, err
}

func valueBytes(txn platform.RowTxn) int {
	total := 0
	for _, w := range txn.Writes {
		total += len(w.Value)
	}
	return total
}
