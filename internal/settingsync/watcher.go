// Package settingsync keeps a VM on the newest revision of the settings. It polls the platform's
// table, hears of new revisions from peers, and reads revisions from peers while the table is down.
package settingsync

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Peer methods.
const (
	// MethodFetch asks a peer for its newest settings: fetchRequest to fetchAnswer.
	MethodFetch peer.Method = "settings.fetch"
	// MethodOffer gives a peer newer settings: fetchAnswer to fetchRequest.
	MethodOffer peer.Method = "settings.offer"
)

// Defaults of Config.
const (
	defaultTableInterval = 5 * time.Second
	defaultPeerInterval  = 4 * time.Second
	defaultFreshFor      = 17 * time.Second
)

// fetchTimeout bounds one question to the table or to a peer.
const fetchTimeout = 3 * time.Second

// maxDeltaRevisions bounds the revisions in one answer to a peer; a peer that lacks more gets an image.
const maxDeltaRevisions = 64

// Config configures a Watcher.
type Config struct {
	// Store reads committed revisions. Required.
	Store *settingstore.Store
	// Caller asks peers. Required.
	Caller peer.Caller
	// Peers returns the addresses that may be asked, in no order. Required.
	Peers func() []netip.AddrPort
	// ReplicateTo returns the addresses that Spread sends a new revision to. Optional.
	ReplicateTo func(ctx context.Context) []netip.AddrPort
	// Announce is told of each revision that comes into force here, to spread its number. Optional.
	Announce func(revision uint64)
	// TableInterval separates polls of the table's head. Default 5s.
	TableInterval time.Duration
	// TableOnlyWithoutPeers polls the table only while no peer answers: for a process whose VM's entry polls already.
	TableOnlyWithoutPeers bool
	// PeerInterval separates questions to one random peer. Default 4s.
	PeerInterval time.Duration
	// FreshFor is how long a confirmation of the revision lasts. Default 17s.
	FreshFor time.Duration
	// Log receives failures.
	Log zerolog.Logger
}

// Watcher implements settings.Source.
type Watcher struct {
	config  Config
	current atomic.Pointer[settings.Snapshot]

	// wanted is the newest revision number heard of.
	wanted atomic.Uint64
	// informant is the peer that named the wanted revision.
	informant atomic.Pointer[netip.AddrPort]
	wake      chan struct{}

	mu        sync.Mutex
	confirmed time.Time
	recent    []*settings.Revision
	changed   chan struct{}
}

var _ settings.Source = (*Watcher)(nil)

var (
	adoptedRevisions = metrics.NewCounter("rosemarydyke_settings_revisions_adopted_total")
	failedPolls      = metrics.NewCounter("rosemarydyke_settings_polls_failed_total")
)

// New returns a watcher at revision zero. Call Start to make it follow the settings.
func New(config Config) *Watcher {
	if config.TableInterval == 0 {
		config.TableInterval = defaultTableInterval
	}
	if config.PeerInterval == 0 {
		config.PeerInterval = defaultPeerInterval
	}
	if config.FreshFor == 0 {
		config.FreshFor = defaultFreshFor
	}
	w := &Watcher{config: config, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	w.current.Store(settings.Empty())
	return w
}

// Current implements settings.Source.
func (w *Watcher) Current() *settings.Snapshot { return w.current.Load() }

// Fresh implements settings.Source: the revision was confirmed by the table or a peer within
// FreshFor, and no newer one that could not be fetched has been known for longer.
func (w *Watcher) Fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.confirmed.IsZero() && time.Since(w.confirmed) < w.config.FreshFor
}

// Changed returns a channel that is closed when the next revision comes into force.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// ObserveRevision tells the watcher that the peer at from has heard of a revision. The zero address stands for
// an unknown peer.
func (w *Watcher) ObserveRevision(revision uint64, from netip.AddrPort) {
	for {
		wanted := w.wanted.Load()
		if revision <= wanted {
			return
		}
		if w.wanted.CompareAndSwap(wanted, revision) {
			break
		}
	}
	w.informant.Store(&from)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Start follows the settings until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.run(ctx)
}

func (w *Watcher) run(ctx context.Context) {
	table := time.NewTimer(0)
	peers := time.NewTimer(jitter(w.config.PeerInterval / 4))
	defer table.Stop()
	defer peers.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-table.C:
			if !w.config.TableOnlyWithoutPeers || !w.Fresh() {
				w.pollTable(ctx)
			}
			table.Reset(jitter(w.config.TableInterval))
		case <-peers.C:
			w.pollPeer(ctx)
			peers.Reset(jitter(w.config.PeerInterval))
		case <-w.wake:
			w.catchUp(ctx)
		}
	}
}

// jitter spreads an interval by a tenth, so that VMs do not poll in step.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/5+1)) - d/10
}

// catchUp fetches a revision that a peer announced. Peers come first, for they answer while the
// table is down and spare it a read by every VM for each revision.
func (w *Watcher) catchUp(ctx context.Context) {
	if from := w.informant.Load(); from != nil && from.IsValid() {
		w.ask(ctx, *from)
	}
	if w.behind() {
		w.pollPeer(ctx)
	}
	if w.behind() {
		w.pollTable(ctx)
	}
}

func (w *Watcher) behind() bool { return w.Current().Revision < w.wanted.Load() }

// Refresh reads the newest revision from the table now.
func (w *Watcher) Refresh(ctx context.Context) { w.pollTable(ctx) }

func (w *Watcher) pollTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	have := w.Current()
	next, revisions, err := w.config.Store.CatchUp(ctx, have)
	if err != nil {
		failedPolls.Inc()
		w.config.Log.Debug().Err(err).Msg("settings: the table did not answer")
		return
	}
	w.advance(next, revisions)
	w.confirm(asked)
}

// advance puts next in force. Whole snapshots are swapped, so that no reader sees part of a
// revision, and only for newer ones, so that none is ever undone.
func (w *Watcher) advance(next *settings.Snapshot, revisions []*settings.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := w.current.Load()
	if next.Revision <= present.Revision {
		return
	}
	w.current.Store(next)
	w.remember(revisions, next.Revision)
	close(w.changed)
	w.changed = make(chan struct{})
	adoptedRevisions.Add(int(next.Revision - present.Revision))
	w.config.Log.Info().Uint64("revision", next.Revision).Msg("settings: revision in force")
	if w.config.Announce != nil {
		w.config.Announce(next.Revision)
	}
}

// remember keeps the newest revisions for peers. It forgets all when there is a gap.
func (w *Watcher) remember(revisions []*settings.Revision, newest uint64) {
	w.recent = append(w.recent, revisions...)
	if len(w.recent) > maxDeltaRevisions {
		w.recent = w.recent[len(w.recent)-maxDeltaRevisions:]
	}
	contiguous := len(w.recent) > 0 && w.recent[len(w.recent)-1].Number == newest &&
		w.recent[0].Number+uint64(len(w.recent))-1 == newest
	if !contiguous {
		w.recent = nil
	}
}

// confirm extends freshness from the time at which the confirming question was asked.
func (w *Watcher) confirm(asked time.Time) {
	if w.behind() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if asked.After(w.confirmed) {
		w.confirmed = asked
	}
}
