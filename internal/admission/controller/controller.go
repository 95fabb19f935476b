// Package controller implements admission.Admitter. It divides the slots of the targets among the fleet's
// entries, which serve online requests, and batch work.
//
// Each target is owned by one VM, whose ledger counts the target's slots. Other VMs request credits from the
// owner, each the right to run one request on the target, and renew them periodically.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/periodic"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// Controller implements admission.Admitter. Packages target, dispatch and quarantine make the decisions; the
// controller passes events to them and carries out the results. One mutex guards all of their state; it is
// never held while blocking.
type Controller struct {
	config  Config
	session uint64

	mu         sync.Mutex
	ctx        context.Context
	draining   bool
	topology   topology
	targets    map[string]*targetState
	pools      map[string]*pool
	retries    *dispatch.RetryBudget
	chooser    *dispatch.Chooser
	prefixes   *dispatch.PrefixIndex
	quarantine *quarantine.Tracker
	// announcedGroups are the blamed groups that the batch processes know.
	announcedGroups  [][]uint64
	leavingAddresses map[string]bool
	// loadedModels maps the managed targets owned by this VM to the models that they serve.
	loadedModels map[string]string
	batch        batchState
	// creditCalls is the budget of credit calls to and from other entries. It delays and refuses no call:
	// while at least half of it is used up, unused credits are kept for longer, which saves calls.
	creditCalls *rate.Limiter
}

// pool is the set of targets that serve one model or one plain service, with the queue of requests for it.
type pool struct {
	key       string
	queue     *dispatch.Queue
	estimator dispatch.Estimator
	health    *target.HealthGroup
	targets   []*targetState
	// active are the targets that this VM requests credits for.
	active []*targetState
	// minTargets is the number of targets to request credits for. It is doubled while none of them has a free slot.
	minTargets int
	expandedAt time.Time
}

// targetState is this VM's state of one target.
type targetState struct {
	settings  *settings.Target
	pool      *pool
	ownership target.Owned
	hasOwner  bool
	// active is whether this VM requests credits for the target.
	active bool
	holder *target.Holder
	// requestedCredits is the number of credits that the pending request asks for, and requestedAt is when it was sent.
	requestedCredits int
	requestedAt      time.Time
	// extendUntil is the time until which the pending request may be replaced by one for more credits.
	extendUntil time.Time
	// retryAt is when the next request may be sent to the owner after a failed one.
	retryAt time.Time
	// refusalPending is whether the target refused a request of this VM and the owner has not been told yet.
	// A refusal learned from the owner is not reported back, otherwise two VMs would keep a target ejected forever.
	refusalPending bool
	// ledger and pacer are nil unless this VM owns the target.
	ledger *target.Ledger
	pacer  *target.Pacer
	// lastBatchStart is when the last batch item started. batchStarts counts the started items up to
	// maxBatchStarts, less startsPerPreemption for each preempted one.
	lastBatchStart time.Time
	batchStarts    int
	// nextBatchStart is when the next batch item may start, and fillScheduled whether a timer is set for it.
	nextBatchStart time.Time
	fillScheduled  bool
	// lastRecall is when unused credits were last recalled from each VM.
	lastRecall map[string]time.Time
	// ledgerChanged is closed and replaced when the ledger may be able to grant more credits.
	ledgerChanged chan struct{}
	// suspectRunning is whether a suspect request of this VM is running on the target.
	suspectRunning bool
	// lastCrash is when the target last broke off a request of this VM, and cancelledRuns are the requests that were
	// cancelled on it within cancelledRunWindow.
	lastCrash     time.Time
	cancelledRuns []cancelledRun
}

// New returns a controller. Call Register and then Start.
func New(config Config) *Controller {
	config = config.withDefaults()
	config.Quarantine.Attribution.Random = rand.Float64
	index := dispatch.NewPrefixIndex(config.PrefixEntries)
	return &Controller{
		config:           config,
		session:          rand.Uint64(),
		ctx:              context.Background(),
		targets:          make(map[string]*targetState),
		pools:            make(map[string]*pool),
		retries:          dispatch.NewRetryBudget(config.Retry),
		chooser:          dispatch.NewChooser(index),
		prefixes:         index,
		quarantine:       quarantine.NewTracker(config.Quarantine),
		leavingAddresses: make(map[string]bool),
		loadedModels:     make(map[string]string),
		batch:            newBatchState(),
		creditCalls:      rate.NewLimiter(rate.Limit(config.CreditCallRate), config.CreditCallBurst),
	}
}

// Register registers the controller's peer methods.
func (c *Controller) Register(registrar peer.Registrar) {
	registrar.HandleCall(MethodCredits, c.handleCredits)
	registrar.HandleCall(MethodRecall, c.handleRecall)
	registrar.HandleStream(batchslots.Method, c.handleBatch)
}

// Start runs the controller's periodic work until the context ends.
func (c *Controller) Start(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.tick(time.Now())
	go periodic.Every(ctx, c.config.TickInterval, c.tick)
	go periodic.Every(ctx, c.config.RenewInterval, c.renew)
	if c.config.VMs != nil {
		go periodic.Every(ctx, c.config.VMListInterval, c.readVMList)
	}
}

// Drain makes the controller refuse new requests and revoke all batch slots. Running requests continue.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for _, t := range c.targets {
		if t.ledger != nil {
			c.revokeBatchSlots(t.ledger.RevokeBatch(t.settings.Slots))
		}
	}
}

// AllowRetry implements admission.Admitter.
func (c *Controller) AllowRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := c.retries.Allow()
	if !allowed {
		metricRetriesDenied.Inc()
	}
	return allowed
}

// QuarantineStatus returns the quarantine status of a fingerprint.
func (c *Controller) QuarantineStatus(fingerprint uint64) quarantine.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Status(fingerprint)
}

// TakeEvidence removes and returns the quarantine evidence that is due to be sent to the other VMs.
func (c *Controller) TakeEvidence() []quarantine.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeEvidence(time.Now())
}

// MergeEvidence merges quarantine evidence received from other VMs.
func (c *Controller) MergeEvidence(evidence []quarantine.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, e := range evidence {
		before := c.quarantine.Status(e.Fingerprint)
		if c.quarantine.Merge(now, e) == quarantine.Quarantined && before != quarantine.Quarantined {
			c.announceQuarantine(e.Fingerprint)
		}
	}
}

// TakeReport removes and returns what the other VMs have to learn of crashes and blamed groups, and the groups that are cleared.
func (c *Controller) TakeReport() (quarantine.Report, []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	report := c.quarantine.TakeReport(now)
	c.announceBlames(now)
	return report, c.quarantine.TakeCleared()
}

// MergeReport merges what another VM reported of crashes and blamed groups, and returns the groups that it doesn't seem to know.
func (c *Controller) MergeReport(from string, report quarantine.Report) []quarantine.BlameReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.MergeReport(time.Now(), from, report)
}

// MergeStored merges a blamed group from the table.
func (c *Controller) MergeStored(blame quarantine.BlameReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.MergeStored(time.Now(), blame)
}

// Blames returns all blamed groups.
func (c *Controller) Blames() []quarantine.BlameReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Blames(time.Now())
}

// ObserveCache records a target's prefix cache events: blocks that it stored and evicted.
func (c *Controller) ObserveCache(name string, stored, evicted []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes.Store(name, stored...)
	c.prefixes.Evict(name, evicted...)
}

// ObserveLoad records a target's load report: the number of requests queued inside the target.
func (c *Controller) ObserveLoad(name string, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[name]; t != nil && t.pacer != nil {
		t.pacer.Report(time.Now(), waiting)
	}
}

// Targets describes all targets as seen by this VM, ordered by name.
func (c *Controller) Targets() []explain.TargetInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	infos := make([]explain.TargetInfo, 0, len(c.targets))
	for _, name := range sortedNames(c.targets) {
		info := c.targets[name].info()
		if t := c.targets[name]; t.ledger != nil && c.slotsOf(t.settings) == 0 {
			info.Reason = "model " + t.settings.Model + " is not loaded yet"
		}
		infos = append(infos, info)
	}
	return infos
}

func (t *targetState) info() explain.TargetInfo {
	state, reason := t.pool.health.State(t.settings.Name)
	info := explain.TargetInfo{
		Name:             t.settings.Name,
		Address:          t.settings.Address,
		AvailabilityZone: t.settings.AvailabilityZone,
		Serves:           t.pool.key,
		Owner:            t.ownership.Owner.VM,
		State:            state.String(),
		Reason:           reason,
		Slots:            t.settings.Slots,
		Online:           t.holder.InUse(),
	}
	if t.ledger != nil {
		usage := t.ledger.Usage()
		info.Online, info.Batch = usage.Online, usage.Batch
	}
	return info
}
