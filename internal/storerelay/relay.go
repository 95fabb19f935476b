// Package storerelay reaches the platform's store through other VMs while it turns this one away.
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
	// directPause is how long a store that failed is reached through others before it is tried again.
	directPause = 800 * time.Millisecond
	// relayTimeout bounds a relayed call beyond the time for which the store may hold it.
	relayTimeout = 600 * time.Millisecond
	// maxRelayRows bounds the rows of a relayed page, and maxRelayBytes its size: larger messages are lost
	// too often as datagrams.
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
	// Direct is the store as this VM reaches it.
	Direct platform.Rows
	Node   Node
	// Peers returns the addresses of the other live VMs.
	Peers func() []netip.AddrPort
	Log   zerolog.Logger
}

// Relay is the store, reached directly or through another VM.
type Relay struct {
	config Config
	// downUntil is when the direct way is tried again, in nanoseconds since start.
	downUntil atomic.Int64
	started   time.Time
}

var _ platform.Rows = (*Relay)(nil)

// New registers the relay's handlers at the node.
func New(config Config) *Relay {
	r := &Relay{config: config, started: time.Now()}
	config.Node.HandleCall(methodRead, r.serveRead)
	config.Node.HandleCall(methodFollow, r.serveFollow)
	config.Node.HandleCall(methodApply, r.serveApply)
	return r
}

// down reports whether the direct way has failed lately.
func (r *Relay) down() bool { return int64(time.Since(r.started)) < r.downUntil.Load() }

// note keeps whether the direct way works.
func (r *Relay) note(ctx context.Context, err error) {
	switch {
	case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown):
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return
		}
		if r.downUntil.Swap(int64(time.Since(r.started)+directPause)) == 0 {
			r.config.Log.Warn().Err(err).Msg("store does not serve this VM, others are asked to relay")
		}
	case r.downUntil.Swap(0) != 0:
		r.config.Log.Info().Msg("store serves this VM again")
	}
}

// ask calls a random other VM.
func (r *Relay) ask(ctx context.Context, wait time.Duration, method peer.Method, request, response any) error {
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
		var answer platform.Page
		err := r.ask(ctx, 0, methodRead, readRequest{Table: table, Part: part, Keys: keys}, &answer)
		return answer, asUnavailable(err)
	}
	direct := func() (platform.Page, error) { return r.config.Direct.Read(ctx, table, part, keys) }
	return r.either(ctx, direct, relay)
}

// Follow implements platform.Rows.
func (r *Relay) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	relay := func() (platform.Page, error) {
		var answer platform.Page
		err := r.ask(ctx, wait, methodFollow, followRequest{Table: table, After: after, Wait: wait}, &answer)
		return answer, asUnavailable(err)
	}
	direct := func() (platform.Page, error) { return r.config.Direct.Follow(ctx, table, after, wait) }
	return r.either(ctx, direct, relay)
}

// either takes the direct way first, unless that has failed lately.
func (r *Relay) either(ctx context.Context, direct, relay func() (platform.Page, error)) (platform.Page, error) {
	if r.down() {
		page, err := relay()
		if err == nil || !errors.Is(err, platform.ErrUnavailable) {
			return page, err
		}
		r.downUntil.CompareAndSwap(r.downUntil.Load(), 1)
	}
	page, err := direct()
	r.note(ctx, err)
	if errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil {
		if relayed, relayErr := relay(); relayErr == nil || errors.Is(relayErr, platform.ErrHistoryLost) {
			return relayed, relayErr
		}
	}
	return page, err
}

// asUnavailable maps a relayed read that got no answer.
func asUnavailable(err error) error {
	var unanswered *peer.UnansweredError
	if errors.As(err, &unanswered) {
		return fmt.Errorf("relayed: %w: %w", platform.ErrUnavailable, err)
	}
	return err
}

// Apply implements platform.Rows.
func (r *Relay) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if !r.down() {
		version, err := r.config.Direct.Apply(ctx, txn)
		r.note(ctx, err)
		if !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
			return version, err
		}
	}
	version, err := r.relayApply(ctx, txn)
	if !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
		return version, err
	}
	version, err = r.config.Direct.Apply(ctx, txn)
	r.note(ctx, err)
	return version, err
}

func (r *Relay) relayApply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if size(txn) > maxRelayBytes {
		return 0, fmt.Errorf("%w: transaction is too large to be relayed", platform.ErrUnavailable)
	}
	var answer applyAnswer
	err := r.ask(ctx, 0, methodApply, txn, &answer)
	var unanswered *peer.UnansweredError
	if errors.As(err, &unanswered) {
		return 0, fmt.Errorf("relayed: %w: %w", platform.ErrOutcomeUnknown, err)
	}
	if err == nil && answer.Conflict {
		return 0, &platform.RowConflictError{Rows: answer.Rows}
	}
	return answer.Version, err
}

func size(txn platform.RowTxn) int {
	total := 0
	for _, w := range txn.Writes {
		total += len(w.Value)
	}
	return total
}
