// Package settingsync keeps a VM on the newest revision of the settings. It polls the platform's table and its peers, and
// fetches revisions that peers announce, also while the table is unavailable.
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
	// MethodFetch fetches the newest settings from a peer: the request is a fetchRequest, the response a fetchResponse.
	MethodFetch peer.Method = "settings.fetch"
	// MethodOffer sends newer settings to a peer: the request is a fetchResponse, the response a fetchRequest.
	MethodOffer peer.Method = "settings.offer"
)

// Default values of Config.
const (
	defaultTableInterval = 5 * time.Second
	defaultPeerInterval  = 4 * time.Second
	defaultFreshFor      = 17 * time.Second
)

// fetchTimeout limits one request to the table or to a peer.
const fetchTimeout = 3 * time.Second

// maxDeltaRevisions limits the revisions in one response to a peer; a peer that is further behind gets an image.
const maxDeltaRevisions = 64

// Config configures a Watcher.
type Config struct {
	// Store reads committed revisions. Required.
	Store *settingstore.Store
	// Caller sends requests to peers. Required.
	Caller peer.Caller
	// Peers returns the addresses of the peers to poll, in any order. Required.
	Peers func() []netip.AddrPort
	// ReplicateTo returns the addresses to which Replicate sends a new revision. Optional.
	ReplicateTo func(ctx context.Context) []netip.AddrPort
	// Announce is called with each revision that comes into force here, to announce its number to peers. Optional.
	Announce func(revision uint64)
	// TableInterval is the interval between polls of the table's head. Default 5s.
	TableInterval time.Duration
	// TableOnlyWithoutPeers polls the table only while the revision in force is not fresh, so not as long as peers
	// confirm it. It is for a process on a VM whose entry polls the table already.
	TableOnlyWithoutPeers bool
	// PeerInterval is the interval between polls of one random peer. Default 4s.
	PeerInterval time.Duration
	// FreshFor is how long the revision counts as fresh after it was confirmed. Default 17s.
	FreshFor time.Duration
	// Log receives new revisions and failures.
	Log zerolog.Logger
}

// Watcher implements settings.Source.
type Watcher struct {
	config  Config
	current atomic.Pointer[settings.Snapshot]

	// newestKnown is the newest revision number that the watcher knows of.
	newestKnown atomic.Uint64
	// newestKnownPeer is the peer that announced newestKnown.
	newestKnownPeer atomic.Pointer[netip.AddrPort]
	wake            chan struct{}

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

// New returns a watcher at revision zero. It does nothing before Start.
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

// Fresh implements settings.Source. It reports whether the table or a peer confirmed within FreshFor that the revision
// in force is the newest. A newer revision that is known but could not be fetched prevents further confirmations.
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

// ObserveRevision tells the watcher that the peer at from knows of a revision. The zero address stands for
// an unknown peer.
func (w *Watcher) ObserveRevision(revision uint64, from netip.AddrPort) {
	for {
		known := w.newestKnown.Load()
		if revision <= known {
			return
		}
		if w.newestKnown.CompareAndSwap(known, revision) {
			break
		}
	}
	w.newestKnownPeer.Store(&from)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Start follows the settings in the background until ctx ends.
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

// jitter returns d plus or minus up to a tenth, so that VMs do not poll in step.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/5+1)) - d/10
}

// catchUp fetches a revision that a peer announced. It asks peers before the table, because they respond while the
// table is unavailable, and so that not every VM reads each revision from the table.
func (w *Watcher) catchUp(ctx context.Context) {
	if from := w.newestKnownPeer.Load(); from != nil && from.IsValid() {
		w.fetchFrom(ctx, *from)
	}
	if w.behind() {
		w.pollPeer(ctx)
	}
	if w.behind() {
		w.pollTable(ctx)
	}
}

func (w *Watcher) behind() bool { return w.Current().Revision < w.newestKnown.Load() }

// Refresh reads the newest revision from the table now.
func (w *Watcher) Refresh(ctx context.Context) { w.pollTable(ctx) }

func (w *Watcher) pollTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	have := w.Current()
	next, revisions, err := w.config.Store.CatchUp(ctx, have)
	if err != nil {
		failedPolls.Inc()
		w.config.Log.Debug().Err(err).Msg("settings: cannot read the table; keeping the revision in force")
		return
	}
	w.advance(next, revisions)
	w.confirm(sent)
}

// advance puts next in force if it is newer, so that a revision is never undone. It replaces the whole snapshot, so
// that no reader sees part of a revision.
func (w *Watcher) advance(next *settings.Snapshot, revisions []*settings.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.current.Load()
	if next.Revision <= previous.Revision {
		return
	}
	w.current.Store(next)
	w.keepRecent(revisions, next.Revision)
	close(w.changed)
	w.changed = make(chan struct{})
	adoptedRevisions.Add(int(next.Revision - previous.Revision))
	w.config.Log.Info().Uint64("revision", next.Revision).Msg("settings: revision in force")
	if w.config.Announce != nil {
		w.config.Announce(next.Revision)
	}
}

// keepRecent keeps the newest revisions for peers. If they are not contiguous, it drops all of them.
func (w *Watcher) keepRecent(revisions []*settings.Revision, newest uint64) {
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

// confirm records that the revision in force was the newest when the request was sent, unless a newer one is known.
func (w *Watcher) confirm(sent time.Time) {
	if w.behind() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if sent.After(w.confirmed) {
		w.confirmed = sent
	}
}
