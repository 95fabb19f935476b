// Package runner executes batch jobs: it claims chunks, runs their items in slots granted by the entry on
// the same VM, and commits the results. Packages job and lease hold the side-effect-free decision logic.
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

// Config configures a Runner. A zero field takes its default where one is stated.
type Config struct {
	// VM is the name of the VM that the runner is running on.
	VM string
	// Entry is the peer address of the entry on the same VM.
	Entry netip.AddrPort
	// Caller makes calls to the entry and to other batch processes.
	Caller peer.Caller
	// Store holds the batch jobs.
	Store *jobstore.Store
	// Items sends items to targets.
	Items ItemRunner
	// Members returns the number of runners in the fleet. Lease renewals and searches become less frequent as it grows. Default 1.
	Members func() int
	// Peers returns the peer addresses of the other batch processes. Default none.
	Peers func() []netip.AddrPort
	// Policy limits the attempts per item and the size of commits.
	Policy job.Policy
	// MaxChunks is the maximum number of chunks held at once. Default 8.
	MaxChunks int
	// MaxBufferedBytes is the size of uncommitted results at which dispatching stops. Default 48 MiB.
	MaxBufferedBytes int
	// MaxConfirmationAge is how long items may be dispatched after the start of the last successful check that their jobs
	// are not cancelled. Default 2500ms.
	MaxConfirmationAge time.Duration
	// DrainTimeout limits the wait for running items at shutdown. Default 30s.
	DrainTimeout time.Duration
	Log          zerolog.Logger
}

// Defaults of Config.
const (
	defaultMaxChunks          = 8
	defaultMaxBufferedBytes   = 48 << 20
	defaultMaxConfirmationAge = 2500 * time.Millisecond
	defaultDrainTimeout       = 30 * time.Second
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
	if c.MaxConfirmationAge == 0 {
		c.MaxConfirmationAge = defaultMaxConfirmationAge
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
	return c
}

// Runner is the batch process of one VM.
type Runner struct {
	config Config
	// id is unique to this process, so that a restarted process does not inherit its predecessor's lease.
	id      string
	metrics *runnerMetrics
	// The channels wake the loops that commit results, send the demand and search for chunks.
	wakeCommit, wakeDemand, wakeDiscovery chan struct{}

	mu          sync.Mutex
	held        map[string]*heldChunk
	quarantined map[uint64]struct{}
	// blamed are groups of keys under which targets crash, see package quarantine.
	blamed [][]uint64
	// suspected are fingerprints of items that become suspects at their next dispatch.
	suspected    map[uint64]struct{}
	ownLease     *lease.Holder
	leaseWatcher *lease.Watcher
	// cursor is the key after which the next scan of open work starts. earliestKey is the key of the work that is due first.
	cursor, earliestKey string
	searchCount         int
	bufferedBytes       int
	draining            bool
	starvation          starvation
}

// New returns a runner that Run starts.
func New(config Config) *Runner {
	config = config.withDefaults()
	id := config.VM + "." + ulid.Make().String()
	return &Runner{
		config:        config,
		id:            id,
		metrics:       newRunnerMetrics(),
		wakeCommit:    make(chan struct{}, 1),
		wakeDemand:    make(chan struct{}, 1),
		wakeDiscovery: make(chan struct{}, 1),
		held:          map[string]*heldChunk{},
		quarantined:   map[uint64]struct{}{},
		suspected:     map[uint64]struct{}{},
		leaseWatcher:  lease.NewWatcher(),
		starvation:    newStarvation(),
	}
}

// heldChunk is a chunk that this runner has claimed.
type heldChunk struct {
	work   *jobstore.Work
	record *jobstore.Record
	run    *job.Run
	// isCommitting is set while a commit is in progress; a chunk has at most one.
	isCommitting bool
	// confirmedAt is when the last successful check that the job is not cancelled was started.
	confirmedAt time.Time
	// running holds the cancel functions of the dispatched items by index.
	running map[int]context.CancelCauseFunc
	// suspects holds, by fingerprint, the indexes of items whose connection to the target broke.
	suspects  map[uint64][]int
	events    *itemLog
	claimedAt time.Time
}

// stop ends dispatching and cancels the running items with cause.
func (h *heldChunk) stop(cause error) {
	h.run.Stop()
	for _, cancel := range h.running {
		cancel(cause)
	}
}

// Run executes work until ctx ends, then waits for running items, commits their results and releases its chunks.
func (r *Runner) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return r.renewLoop(workCtx) })
	group.Go(func() error { return r.jobCheckLoop(workCtx) })
	group.Go(func() error { return r.discoverLoop(workCtx) })
	group.Go(func() error { return r.commitLoop(workCtx) })
	group.Go(func() error { return r.slotLoop(workCtx) })
	select {
	case <-ctx.Done():
		r.drain()
	case <-workCtx.Done():
	}
	stopWork()
	err := group.Wait()
	// The renew loop must have stopped: a later renewal would recreate the lease.
	r.endLease()
	return err
}

// signal wakes a loop before its interval ends. It does nothing if a wakeup is already pending.
func signal(wakeup chan struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}

// waitInterval waits for the interval, a wakeup or the end of ctx. It returns false at the end of ctx.
func waitInterval(ctx context.Context, interval time.Duration, wakeup <-chan struct{}) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wakeup:
		return true
	case <-timer.C:
		return true
	}
}
