// Package idempotency stores the records of requests that may run at most once in the platform's table.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// OwnerCheck asks whether owner still has its request in progress.
type OwnerCheck func(ctx context.Context, owner idempotency.Owner) idempotency.Liveness

// Config configures a Ledger.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Table stores the records.
	Table platform.Table
	// Check asks other VMs about their requests. If it is nil, their liveness is unknown.
	Check OwnerCheck
	// CommitInterval is the minimum time between two commits of this VM. Default 25ms.
	CommitInterval time.Duration
	// ClaimTimeout limits the claim of a key before dispatch. Default 2s.
	ClaimTimeout time.Duration
	// StoreTimeout limits the storing of an outcome. Default 1m.
	StoreTimeout time.Duration
	// MaxOutcomeBytes is the maximum size of a stored response body; larger ones are omitted. Default 64 KiB.
	MaxOutcomeBytes int
}

const (
	defaultCommitInterval  = 25 * time.Millisecond
	defaultClaimTimeout    = 2 * time.Second
	defaultStoreTimeout    = time.Minute
	defaultMaxOutcomeBytes = 64 << 10
	// unavailableRetryAfter is the retry delay sent to callers while the table does not respond.
	unavailableRetryAfter = 2 * time.Second
	// runningRetryAfter is the retry delay sent to callers while the request is in progress.
	runningRetryAfter = time.Second
)

func (c *Config) setDefaults() {
	if c.CommitInterval == 0 {
		c.CommitInterval = defaultCommitInterval
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = defaultStoreTimeout
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = defaultMaxOutcomeBytes
	}
}

type ledgerMetrics struct {
	commits   *metrics.Counter
	groupSize *metrics.Histogram
}

// Ledger claims idempotency keys and stores outcomes.
type Ledger struct {
	config    Config
	committer *committer

	mu      sync.Mutex
	running map[string]bool
	// backgroundTasks is the number of running background writes. idle is signalled when it reaches zero.
	backgroundTasks int
	idle            *sync.Cond
}

// New returns a ledger. Its claims make progress only while Run is running.
func New(config Config) *Ledger {
	config.setDefaults()
	l := &Ledger{config: config, running: map[string]bool{}}
	l.idle = sync.NewCond(&l.mu)
	l.committer = &committer{
		table:    config.Table,
		queue:    make(chan *write, maxQueueLength),
		interval: config.CommitInterval,
		stopped:  make(chan struct{}),
		metrics: &ledgerMetrics{
			commits:   metrics.GetOrCreateCounter("rosemarydyke_idempotency_commits_total"),
			groupSize: metrics.GetOrCreateHistogram("rosemarydyke_idempotency_group_records"),
		},
	}
	return l
}

// Run commits records until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.committer.run(ctx) }

// Wait returns once all background writes have ended, whether they succeeded or not.
func (l *Ledger) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.backgroundTasks > 0 {
		l.idle.Wait()
	}
}

// inBackground runs task, which Wait waits for, in a goroutine with StoreTimeout.
func (l *Ledger) inBackground(task func(context.Context)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backgroundTasks++
	go func() {
		defer l.backgroundDone()
		ctx, cancel := context.WithTimeout(context.Background(), l.config.StoreTimeout)
		defer cancel()
		task(ctx)
	}()
}

func (l *Ledger) backgroundDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backgroundTasks--
	if l.backgroundTasks == 0 {
		l.idle.Broadcast()
	}
}

// Running reports whether this process has the request in progress.
func (l *Ledger) Running(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[requestID]
}

func (l *Ledger) setRunning(requestID string, running bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if running {
		l.running[requestID] = true
		return
	}
	delete(l.running, requestID)
}

// Claim is the right to dispatch one request. Exactly one of its methods must be called, once.
type Claim struct {
	ledger  *Ledger
	key     string
	version uint64
	record  idempotency.Record
}

// Begin claims a client's idempotency key for the request before it is dispatched. It returns a claim, or the
// stored outcome of the same request, or a *verdict.Error.
func (l *Ledger) Begin(ctx context.Context, client, key string, fingerprint idempotency.Fingerprint, requestID string) (*Claim, *idempotency.Outcome, error) {
	owner := idempotency.Owner{VM: l.config.VM, RequestID: requestID}
	claim := &Claim{ledger: l, key: rowKey(client, key), record: idempotency.NewRecord(fingerprint, owner, time.Now())}
	l.setRunning(requestID, true)
	outcome, uncertain, err := l.acquire(ctx, claim)
	if uncertain {
		// The claim may have taken effect. Until it is released, the request counts as running on this VM.
		l.releaseUncertain(claim)
		return nil, nil, err
	}
	if err != nil || outcome != nil {
		l.setRunning(requestID, false)
		return nil, outcome, err
	}
	return claim, nil, nil
}

// rowPrefix is the prefix of the row keys of all records.
const rowPrefix = "idempotency/"

// rowKey returns the row key of a client's idempotency key. Hashing limits its length and distributes the rows evenly.
func rowKey(client, key string) string {
	digest := sha256.Sum256([]byte(client + "\x00" + key))
	return rowPrefix + hex.EncodeToString(digest[:16])
}

// acquire writes the claim's record. It returns only zero values when the claim has taken effect, and the stored
// outcome when the request had already finished. With an error, uncertain means that the claim may still take effect.
func (l *Ledger) acquire(ctx context.Context, claim *Claim) (outcome *idempotency.Outcome, uncertain bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	for {
		result := l.committer.submit(ctx, claim.key, claim.version, claim.record)
		switch {
		case result.err != nil:
			return nil, errors.Is(result.err, platform.ErrOutcomeUnknown), unavailableError(result.err)
		case result.conflict == nil:
			claim.version = result.version
			return nil, false, nil
		}
		outcome, err := l.resolve(ctx, claim, *result.conflict)
		if err != nil || outcome != nil {
			return outcome, false, err
		}
	}
}

// resolve decides how to proceed with the row found under the key. It returns nil and nil when the claim is to be
// retried against that row's version.
func (l *Ledger) resolve(ctx context.Context, claim *Claim, row platform.Row) (*idempotency.Outcome, error) {
	claim.version = row.Version
	if row.Version == 0 {
		return nil, nil
	}
	var existing idempotency.Record
	if err := cbor.Unmarshal(row.Value, &existing); err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInternal, Message: "the record of the idempotency key cannot be read", Cause: err}
	}
	liveness := idempotency.Unknown
	if idempotency.NeedsLiveness(existing, claim.record.Fingerprint) {
		liveness = l.liveness(ctx, existing.Owner)
	}
	action := idempotency.Decide(existing, claim.record.Fingerprint, liveness)
	if action == idempotency.Replay {
		return existing.Outcome, nil
	}
	return nil, refusalError(action)
}

func (l *Ledger) liveness(ctx context.Context, owner idempotency.Owner) idempotency.Liveness {
	if owner.VM == l.config.VM {
		if l.Running(owner.RequestID) {
			return idempotency.Running
		}
		return idempotency.Gone
	}
	if l.config.Check == nil {
		return idempotency.Unknown
	}
	return l.config.Check(ctx, owner)
}

// refusalError returns the error for an action that refuses the request, and nil for Claim.
func refusalError(action idempotency.Action) error {
	switch action {
	case idempotency.Claim:
		return nil
	case idempotency.RefuseMismatch:
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeIdempotencyMismatch,
			Message: "the Idempotency-Key belongs to another request; this one was not run"}
	case idempotency.RefuseRunning:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInProgress, RetryAfter: runningRetryAfter,
			Message: "the request of this Idempotency-Key is in progress; ask again for its answer"}
	case idempotency.RefuseOmitted:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed,
			Message: "the request of this Idempotency-Key has run; its answer was too large to be kept"}
	default:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed,
			Message: "the request of this Idempotency-Key may have run and its answer is lost; it is not run again"}
	}
}

func unavailableError(cause error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodePlatformUnavailable, RetryAfter: unavailableRetryAfter,
		Message: "the idempotency key could not be recorded, so the request was not run", Cause: cause}
}

// releaseUncertain releases, in the background, a claim that failed and may have taken effect.
func (l *Ledger) releaseUncertain(claim *Claim) {
	l.inBackground(func(ctx context.Context) {
		defer l.setRunning(claim.record.Owner.RequestID, false)
		// The claim is written again first, to learn the row version that the release must replace.
		result := l.committer.resubmit(ctx, claim.key, claim.version, claim.record)
		if result.err == nil && result.conflict == nil {
			l.committer.submit(ctx, claim.key, result.version, claim.record.Release())
		}
	})
}

// Finish stores, in the background, the response of a request that was run.
func (c *Claim) Finish(outcome idempotency.Outcome) {
	c.storeRecord(c.record.Finish(outcome, c.ledger.config.MaxOutcomeBytes))
}

// MarkLost records, in the background, that the request may have run and that its response is lost.
func (c *Claim) MarkLost() { c.storeRecord(c.record.MarkLost()) }

// Release records, in the background, that the request was not run.
func (c *Claim) Release() { c.storeRecord(c.record.Release()) }

func (c *Claim) storeRecord(record idempotency.Record) {
	l := c.ledger
	l.inBackground(func(ctx context.Context) {
		defer l.setRunning(c.record.Owner.RequestID, false)
		l.committer.submit(ctx, c.key, c.version, record)
	})
}
