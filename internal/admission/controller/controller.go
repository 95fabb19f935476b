// Package controller implements admission.Admitter: it shares the slots of the targets between the
// entries and the batch work of the fleet.
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

// Controller implements admission.Admitter. It feeds events to the decisions of packages target, dispatch and
// quarantine and carries out what they decide. One mutex guards all of them; nothing blocks under it.
type Controller struct {
	config  Config
	session uint64

	mu         sync.Mutex
	ctx        context.Context
	draining   bool
	layout     layout
	targets    map[string]*targetState
	pools      map[string]*pool
	retries    *dispatch.RetryBudget
	chooser    *dispatch.Chooser
	prefixes   *dispatch.PrefixIndex
	quarantine *quarantine.Tracker
	listed     map[string]bool
	// loaded holds the model that each managed target owned here serves.
	loaded map[string]string
	batch  batchState
	// exchanges is the budget of exchanges of credits with other entries.
	exchanges *rate.Limiter
}

// pool is what serves one model or one plain service.
type pool struct {
	serves    string
	queue     *dispatch.Queue
	estimator dispatch.Estimator
	health    *target.HealthGroup
	targets   []*targetState
	// active are the targets that this VM exchanges credits for.
	active []*targetState
	// minTargets is the number of targets to exchange credits for; it doubles while none has a free slot.
	minTargets int
	widenedAt  time.Time
}

// targetState is what this VM knows of one target.
type targetState struct {
	settings *settings.Target
	pool     *pool
	owner    target.Owned
	owned    bool
	// chosen says that this VM exchanges credits for the target.
	chosen bool
	holder *target.Holder
	// asked is the number of credits that the pending ask is for, and askedAt when it was sent.
	asked   int
	askedAt time.Time
	// joinUntil is until when the pending ask may be replaced by one for more credits.
	joinUntil time.Time
	// retryAt is when its owner may be asked again after a failure.
	retryAt time.Time
	// refused says that the target refused a request of this VM and the owner has not heard of it yet.
	// What was heard from the owner is not told again, or two VMs would keep a target ejected for ever.
	refused bool
	// ledger and pacer are set on the owner only.
	ledger *target.Ledger
	pacer  *target.Pacer
	// batchStarted is when the last batch item started, and batchStarts how many did, less those that gave way.
	batchStarted time.Time
	batchStarts  int
	// nextBatch is when the next batch item may start, and fillPlanned says that a timer waits for it.
	nextBatch   time.Time
	fillPlanned bool
	// recalls holds when each holder was last asked to give unused credits back.
	recalls map[string]time.Time
	// changed is closed and replaced when the ledger may be able to grant more.
	changed chan struct{}
	// suspectRunning says that a suspect request of this VM runs on the target.
	suspectRunning bool
}

// New returns a controller. Register it and then start it.
func New(config Config) *Controller {
	config = config.withDefaults()
	index := dispatch.NewPrefixIndex(config.PrefixEntries)
	return &Controller{
		config:     config,
		session:    rand.Uint64(),
		ctx:        context.Background(),
		targets:    make(map[string]*targetState),
		pools:      make(map[string]*pool),
		retries:    dispatch.NewRetryBudget(config.Retry),
		chooser:    dispatch.NewChooser(index),
		prefixes:   index,
		quarantine: quarantine.NewTracker(config.Quarantine),
		listed:     make(map[string]bool),
		loaded:     make(map[string]string),
		batch:      newBatchState(),
		exchanges:  rate.NewLimiter(rate.Limit(config.ExchangeRate), config.ExchangeBurst),
	}
}

// Register adds the controller's peer methods.
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

// Drain makes the controller refuse new requests and take all batch slots back. What runs goes on.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for _, t := range c.targets {
		if t.ledger != nil {
			c.revoke(t.ledger.RevokeBatch(t.settings.Slots))
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

// QuarantineStatus returns what is known of a fingerprint.
func (c *Controller) QuarantineStatus(fingerprint uint64) quarantine.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Status(fingerprint)
}

// TakeEvidence removes and returns the evidence that is due to be sent to the other VMs.
func (c *Controller) TakeEvidence() []quarantine.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeEvidence(time.Now())
}

// MergeEvidence adds evidence of other VMs.
func (c *Controller) MergeEvidence(evidence []quarantine.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, e := range evidence {
		before := c.quarantine.Status(e.Fingerprint)
		if c.quarantine.Merge(now, e) == quarantine.Quarantined && before != quarantine.Quarantined {
			c.quarantined(e.Fingerprint)
		}
	}
}

// ObserveCache records a target's cache events: blocks that it stored and evicted.
func (c *Controller) ObserveCache(name string, stored, evicted []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes.Store(name, stored...)
	c.prefixes.Evict(name, evicted...)
}

// ObserveLoad records a target's load report: the number of requests that wait inside it.
func (c *Controller) ObserveLoad(name string, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[name]; t != nil && t.pacer != nil {
		t.pacer.Report(time.Now(), waiting)
	}
}

// Targets returns what this VM knows of all targets, ordered by name.
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
		Serves:           t.pool.serves,
		Owner:            t.owner.Owner.VM,
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
