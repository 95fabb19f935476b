package jobstore

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// withoutDeadline hides the Deadline method, which must not be called within a synctest bubble.
type withoutDeadline struct{ rapid.TB }

func TestEveryItemHasOnePermanentResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(withoutDeadline{t}, exactlyOnce(fencedCommit{})) })
}

func TestOracleRejectsCommitWithoutEpochCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(unfencedCommit{})) })
}

func TestOracleRejectsBlindRetryOfConditionalWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(blindRetry{})) })
}

func TestOracleRejectsWallClockLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(wallClockLease{})) })
}

func TestOracleRejectsDispatchWithoutRecordedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(withoutIntents{})) })
}

// exactlyOnce runs three runners on one faulty table, and checks the committed results after each step.
func exactlyOnce(p commitProtocol) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, p)
		t.Repeat(map[string]func(*rapid.T){
			"":            func(*rapid.T) { w.oracle.check(t, w.committedResults()) },
			"claim":       w.claim,
			"intents":     w.commitIntents,
			"dispatch":    w.dispatch,
			"finish":      w.endAttempts,
			"put segment": w.putSegment,
			"commit":      w.commit,
			"release":     w.release,
			"kill":        w.crash,
			"cancel":      w.cancel,
			"resend":      w.resend,
			"inject":      w.inject,
			"late writes": func(*rapid.T) { w.flush() },
		})
		w.completeWithoutFaults()
		w.oracle.checkFinal(t, w)
	}
}

// commitProtocol is how a runner commits. Each naive version differs from fencedCommit in one respect.
type commitProtocol interface {
	// replace commits a row of a chunk, and closes the chunk if s.closesChunk is true.
	replace(ctx context.Context, r *simRunner, h *simChunk, s stagedCommit) error
	// recordsIntents reports whether non-idempotent items are dispatched only after their intents are committed.
	recordsIntents() bool
	// mayClaim reports whether the runner may claim the chunk.
	mayClaim(r *simRunner, work *Work) bool
}

// fencedCommit is the protocol of this package.
type fencedCommit struct{}

func (fencedCommit) recordsIntents() bool            { return true }
func (fencedCommit) mayClaim(*simRunner, *Work) bool { return true }

func (fencedCommit) replace(ctx context.Context, r *simRunner, h *simChunk, s stagedCommit) error {
	if s.closesChunk {
		return r.store.Close(ctx, h.work, s.row, h.record)
	}
	work, err := r.store.Replace(ctx, h.work, s.row, h.record)
	if err == nil {
		h.work = work
	}
	return err
}

// unfencedCommit rereads the row's version before it writes, and so ignores the epoch.
type unfencedCommit struct{ fencedCommit }

func (unfencedCommit) replace(ctx context.Context, r *simRunner, h *simChunk, s stagedCommit) error {
	rows, err := r.store.getRows(ctx, h.work.Key, jobKey(s.row.Job))
	if err != nil {
		return err
	}
	if rows[0].Version == 0 {
		return ErrFenced
	}
	h.work.Version, h.record.jobVersion = rows[0].Version, rows[1].Version
	return fencedCommit{}.replace(ctx, r, h, s)
}

// blindRetry treats a conflict as a failure, even if an earlier response was lost, and commits the
// same results again.
type blindRetry struct{ fencedCommit }

func (blindRetry) replace(ctx context.Context, r *simRunner, h *simChunk, s stagedCommit) error {
	originalTable := r.store.table
	defer func() { r.store.table = originalTable }()
	r.store.table = unknownAsUnavailable{originalTable}
	err := fencedCommit{}.replace(ctx, r, h, s)
	if err == nil {
		return nil
	}
	rows, readErr := r.store.getRows(ctx, h.work.Key)
	if readErr != nil || rows[0].Version == 0 {
		return err
	}
	current, readErr := decodeWork(rows[0])
	if readErr != nil || current.Chunk.Epoch != s.row.Epoch {
		return err
	}
	s.row = current.Chunk.Clone()
	s.row.Segments = append(s.row.Segments, s.segment)
	h.work = current
	return fencedCommit{}.replace(ctx, r, h, s)
}

// wallClockLease writes without an epoch check while its lease is valid by its own clock, and takes
// chunks over when another runner's lease has expired by its own clock.
type wallClockLease struct{ unfencedCommit }

func (wallClockLease) mayClaim(r *simRunner, work *Work) bool {
	return work.Chunk.Holder == "" || r.sim.leases[work.Key].renewedAt+simLeaseSteps < r.clock()
}

func (wallClockLease) replace(ctx context.Context, r *simRunner, h *simChunk, s stagedCommit) error {
	if !s.leaseValid {
		return ErrFenced
	}
	return unfencedCommit{}.replace(ctx, r, h, s)
}

// withoutIntents dispatches non-idempotent items without recording intents.
type withoutIntents struct{ fencedCommit }

func (withoutIntents) recordsIntents() bool { return false }
