// Package idempotency keeps the records of requests that may run at most once in the platform's table.
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
	// Table keeps the records.
	Table platform.Table
	// Check asks other VMs about their requests.
	Check OwnerCheck
	// CommitInterval is the least time between two commits of this VM. Default 25ms.
	CommitInterval time.Duration
	// ClaimTimeout bounds the claim of a key before dispatch. Default 2s.
	ClaimTimeout time.Duration
	// StoreTimeout bounds the storing of an outcome. Default 1m.
	StoreTimeout time.Duration
	// MaxOutcomeBytes bounds a stored answer. Default 64 KiB.
	MaxOutcomeBytes int
}

const (
	defaultCommitInterval  = 25 * time.Millisecond
	defaultClaimTimeout    = 2 * time.Second
	defaultStoreTimeout    = time.Minute
	defaultMaxOutcomeBytes = 64 << 10
	// unavailableRetryAfter is what callers are told while the table does not answer.
	unavailableRetryAfter = 2 * time.Second
	// runningRetryAfter is what callers are told while the request is in progress elsewhere.
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
	// storing counts the outcomes that are being stored; idle is signalled when there is none.
	storing int
	idle    *sync.Cond
}

// New returns a ledger. It works while Run runs.
func New(config Config) *Ledger {
	config.setDefaults()
	l := &Ledger{config: config, running: map[string]bool{}}
	l.idle = sync.NewCond(&l.mu)
	l.committer = &committer{
		table:    config.Table,
		queue:    make(chan *write, queueLength),
		interval: config.CommitInterval,
		stopped:  make(chan struct{}),
		metrics: &ledgerMetrics{
			commits:   metrics.GetOrCreateCounter("rosemarydyke_idempotency_commits_total"),
			groupSize: metrics.GetOrCreateHistogram("rosemarydyke_idempotency_group_records"),
		},
	}
	return l
}

// Run writes records until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.committer.run(ctx) }

// Wait returns once all outcomes are stored or given up.
func (l *Ledger) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.storing > 0 {
		l.idle.Wait()
	}
}

// inBackground runs store, which Wait waits for.
func (l *Ledger) inBackground(store func(context.Context)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storing++
	go func() {
		defer l.stored()
		ctx, cancel := context.WithTimeout(context.Background(), l.config.StoreTimeout)
		defer cancel()
		store(ctx)
	}()
}

func (l *Ledger) stored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storing--
	if l.storing == 0 {
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

// Claim is the right to dispatch one request. Exactly one of its methods must be called.
type Claim struct {
	ledger  *Ledger
	key     string
	version uint64
	record  idempotency.Record
}

// Begin claims key of client for the request before it is dispatched. It returns a claim, or the
// stored outcome of the same request, or a *verdict.Error.
func (l *Ledger) Begin(ctx context.Context, client, key string, fingerprint idempotency.Fingerprint, requestID string) (*Claim, *idempotency.Outcome, error) {
	owner := idempotency.Owner{VM: l.config.VM, RequestID: requestID}
	claim := &Claim{ledger: l, key: rowKey(client, key), record: idempotency.NewRecord(fingerprint, owner, time.Now())}
	l.setRunning(requestID, true)
	outcome, open, err := l.claim(ctx, claim)
	if open {
		// The claim may have taken effect. Until it is released, the key is in progress here.
		l.abandon(claim)
		return nil, nil, err
	}
	if err != nil || outcome != nil {
		l.setRunning(requestID, false)
		return nil, outcome, err
	}
	return claim, nil, nil
}

// rowPrefix starts the keys of all records.
const rowPrefix = "idempotency/"

// rowKey names the row of a client's key. The digest bounds its length and spreads the rows.
func rowKey(client, key string) string {
	digest := sha256.Sum256([]byte(client + "\x00" + key))
	return rowPrefix + hex.EncodeToString(digest[:16])
}

// claim returns nothing when the claim is in force. It reports open when it failed and may still take effect.
func (l *Ledger) claim(ctx context.Context, claim *Claim) (outcome *idempotency.Outcome, open bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ClaimTimeout)
	defer cancel()
	for {
		result := l.committer.submit(ctx, claim.key, claim.version, claim.record)
		switch {
		case result.err != nil:
			return nil, errors.Is(result.err, platform.ErrOutcomeUnknown), unavailable(result.err)
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

// resolve decides on the row found under the key. It returns nothing when the claim is to be tried again on that row.
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
	return nil, refusal(action)
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

// refusal returns the error for an action that does not dispatch, and nil for Take.
func refusal(action idempotency.Action) error {
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

func unavailable(cause error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodePlatformUnavailable, RetryAfter: unavailableRetryAfter,
		Message: "the idempotency key could not be recorded, so the request was not run", Cause: cause}
}

// abandon releases, in the background, a claim that may have taken effect although it was given up.
func (l *Ledger) abandon(claim *Claim) {
	l.inBackground(func(ctx context.Context) {
		defer l.setRunning(claim.record.Owner.RequestID, false)
		// Settling the claim first tells the version that the release must replace.
		result := l.committer.submitUncertain(ctx, claim.key, claim.version, claim.record)
		if result.err == nil && result.conflict == nil {
			l.committer.submit(ctx, claim.key, result.version, claim.record.Release())
		}
	})
}

// Finish stores the answer of a request that was run, in the background.
func (c *Claim) Finish(outcome idempotency.Outcome) {
	c.store(c.record.Finish(outcome, c.ledger.config.MaxOutcomeBytes))
}

// MarkLost records, in the background, that the request may have run and has no answer.
func (c *Claim) MarkLost() { c.store(c.record.MarkLost()) }

// Release records, in the background, that the request was not run.
func (c *Claim) Release() { c.store(c.record.Release()) }

func (c *Claim) store(record idempotency.Record) {
	l := c.ledger
	l.inBackground(func(ctx context.Context) {
		defer l.setRunning(c.record.Owner.RequestID, false)
		l.committer.submit(ctx, c.key, c.version, record)
	})
}
