// Package runner works on batch jobs: it takes chunks, runs their items in slots that the entry on
// its VM grants, and commits the results. The decisions are in packages job and lease.
package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/lease"
)

// Config is what a runner needs. The zero value of a field with a default stands for the default.
type Config struct {
	// VM is the name of the VM that the runner is on.
	VM string
	// Entry is the peer address of the entry on the same VM.
	Entry netip.AddrPort
	// Caller reaches the entry.
	Caller peer.Caller
	// Store keeps the jobs.
	Store *jobstore.Store
	// Items sends items to targets.
	Items ItemRunner
	// Members returns the number of runners in the fleet, by which the renewals are spread. Default 1.
	Members func() int
	// Peers returns the peer addresses of the other batch processes. Default none.
	Peers func() []netip.AddrPort
	// Policy bounds tries and sizes of commits.
	Policy job.Policy
	// MaxChunks is the number of chunks held at once. Default 8.
	MaxChunks int
	// MaxBufferedBytes bounds the results that wait for a commit; beyond it no item is dispatched. Default 48 MiB.
	MaxBufferedBytes int
	// MaxJobAge is how long items may be sent after it was last asked whether their jobs are cancelled. Default 2500ms.
	MaxJobAge time.Duration
	// DrainTimeout bounds the wait for running items at a stop. Default 30s.
	DrainTimeout time.Duration
	// Log takes events that operators may want to see.
	Log zerolog.Logger
}

// Defaults of Config.
const (
	defaultMaxChunks        = 8
	defaultMaxBufferedBytes = 48 << 20
	defaultMaxJobAge        = 2500 * time.Millisecond
	defaultDrainTimeout     = 30 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Members == nil {
		c.Members = func() int { return 1 }
	}
	if c.Peers == nil {
		c.Peers = func() []netip.AddrPort { return nil }
	}
	if c.MaxChunks == 0 {
		c.MaxChunks = defaultMaxChunks
	}
	if c.MaxBufferedBytes == 0 {
		c.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if c.MaxJobAge == 0 {
		c.MaxJobAge = defaultMaxJobAge
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
	return c
}

// Runner is the batch process of one VM.
type Runner struct {
	config Config
	// id is never used again, so that a restarted process does not inherit the old one's lease.
	id      string
	metrics *runnerMetrics
	// The channels wake the loops that commit results, state the demand and look for chunks.
	settleSoon, demandSoon, discoverSoon chan struct{}

	mu          sync.Mutex
	held        map[string]*heldChunk
	quarantined map[uint64]struct{}
	leaseHeld   *lease.Holder
	watcher     *lease.Watcher
	// cursor is where the search for open work goes on, earliest the key of the work that is due first.
	cursor, earliest string
	searches         int
	buffered         int
	draining         bool
	starvation       starvation
}

// New returns a runner that Run starts.
func New(config Config) *Runner {
	config = config.withDefaults()
	id := config.VM + "." + ulid.Make().String()
	return &Runner{
		config:       config,
		id:           id,
		metrics:      newRunnerMetrics(),
		settleSoon:   make(chan struct{}, 1),
		demandSoon:   make(chan struct{}, 1),
		discoverSoon: make(chan struct{}, 1),
		held:         map[string]*heldChunk{},
		quarantined:  map[uint64]struct{}{},
		watcher:      lease.NewWatcher(),
		starvation:   newStarvation(),
	}
}

// heldChunk is a chunk that this runner has claimed.
type heldChunk struct {
	work   *jobstore.Work
	record *jobstore.Record
	run    *job.Run
	// isSettling is set while a commit is in progress; there is never more than one for a chunk.
	isSettling bool
	// confirmedAt is when the last confirmation that the job is not cancelled was asked for.
	confirmedAt time.Time
	// running holds the cancel functions of the dispatched items by index.
	running map[int]context.CancelCauseFunc
	// suspects holds the items that were cut off on a target, by fingerprint.
	suspects map[uint64][]int
	events   *itemLog
	// takenAt is when the chunk was taken.
	takenAt time.Time
}

// stop ends dispatches and cancels what runs.
func (h *heldChunk) stop(cause error) {
	h.run.Stop()
	for _, cancel := range h.running {
		cancel(cause)
	}
}

// Run works until ctx ends, then waits for running items, commits their results and hands its chunks back.
func (r *Runner) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return r.renewLoop(work) })
	group.Go(func() error { return r.jobLoop(work) })
	group.Go(func() error { return r.discoverLoop(work) })
	group.Go(func() error { return r.settleLoop(work) })
	group.Go(func() error { return r.slotLoop(work) })
	select {
	case <-ctx.Done():
		r.drain()
	case <-work.Done():
	}
	stopWork()
	err := group.Wait()
	// No renewal may follow the end of the lease.
	r.endLease()
	return err
}

// wake makes a loop run soon; a wake that is pending already is enough.
func wake(loop chan struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// tick waits for the interval, a wake or the end of ctx. It returns false at the end of ctx.
func tick(ctx context.Context, interval time.Duration, soon <-chan struct{}) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-soon:
		return true
	case <-timer.C:
		return true
	}
}
