package jobstore

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// bubble hides a test's deadline, which may not be asked for in simulated time.
type bubble struct{ rapid.TB }

func TestEveryItemHasOneResultForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(bubble{t}, exactlyOnce(fenced{})) })
}

func TestTheOracleRejectsACommitWithoutAnEpochCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(unfenced{})) })
}

func TestTheOracleRejectsABlindRetryOfAConditionalWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(blindRetry{})) })
}

func TestTheOracleRejectsALeaseByWallClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(wallClock{})) })
}

func TestTheOracleRejectsADispatchWithoutARecordedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapidtest.MustFail(t, exactlyOnce(noIntents{})) })
}

// exactlyOnce drives three runners over one table that fails, and checks the results after each step.
func exactlyOnce(p protocol) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, p)
		t.Repeat(map[string]func(*rapid.T){
			"":            func(*rapid.T) { w.oracle.check(t, w.committedResults()) },
			"claim":       w.claim,
			"intents":     w.intents,
			"dispatch":    w.dispatch,
			"finish":      w.finish,
			"put segment": w.putSegment,
			"commit":      w.commit,
			"release":     w.release,
			"kill":        w.kill,
			"cancel":      w.cancel,
			"resend":      w.resend,
			"inject":      w.inject,
			"late writes": func(*rapid.T) { w.flush() },
		})
		w.settle()
		w.oracle.checkFinal(t, w)
	}
}

// protocol is how a runner commits. The naive versions change one thing each.
type protocol interface {
	// replace commits a row of a chunk, and closes the chunk if closing is true.
	replace(ctx context.Context, r *simRunner, h *simChunk, s staged) error
	// recordsIntents says whether non-idempotent items wait for their intents to be committed.
	recordsIntents() bool
	// mayClaim says whether the runner takes over a chunk that another one holds.
	mayClaim(r *simRunner, work *Work) bool
}

// fenced is the protocol of this package.
type fenced struct{}

func (fenced) recordsIntents() bool            { return true }
func (fenced) mayClaim(*simRunner, *Work) bool { return true }

func (fenced) replace(ctx context.Context, r *simRunner, h *simChunk, s staged) error {
	if s.closing {
		return r.store.Close(ctx, h.work, s.row, h.record)
	}
	work, err := r.store.Replace(ctx, h.work, s.row, h.record)
	if err == nil {
		h.work = work
	}
	return err
}

// unfenced reads the row again before it writes, as if its own epoch did not matter.
type unfenced struct{ fenced }

func (unfenced) replace(ctx context.Context, r *simRunner, h *simChunk, s staged) error {
	rows, err := r.store.getRows(ctx, h.work.Key, jobKey(s.row.Job))
	if err != nil {
		return err
	}
	if rows[0].Version == 0 {
		return ErrFenced
	}
	h.work.Version, h.record.version = rows[0].Version, rows[1].Version
	return fenced{}.replace(ctx, r, h, s)
}

// blindRetry takes a conflict for a failure, whatever happened to earlier replies, and commits the
// same results again.
type blindRetry struct{ fenced }

func (blindRetry) replace(ctx context.Context, r *simRunner, h *simChunk, s staged) error {
	settled := r.store.table
	defer func() { r.store.table = settled }()
	r.store.table = repeating{settled}
	err := fenced{}.replace(ctx, r, h, s)
	if err == nil {
		return nil
	}
	rows, readErr := r.store.getRows(ctx, h.work.Key)
	if readErr != nil || rows[0].Version == 0 {
		return err
	}
	present, readErr := decodeWork(rows[0])
	if readErr != nil || present.Chunk.Epoch != s.row.Epoch {
		return err
	}
	s.row = present.Chunk.Clone()
	s.row.Segments = append(s.row.Segments, s.segment)
	h.work = present
	return fenced{}.replace(ctx, r, h, s)
}

// wallClock writes without an epoch check while its own clock says that its lease lasts, and takes
// over when its clock says that another's lease has ended.
type wallClock struct{ unfenced }

func (wallClock) mayClaim(r *simRunner, work *Work) bool {
	return work.Chunk.Holder == "" || r.world.leases[work.Key].renewed+simLease < r.clock()
}

func (wallClock) replace(ctx context.Context, r *simRunner, h *simChunk, s staged) error {
	if !s.inLease {
		return ErrFenced
	}
	return unfenced{}.replace(ctx, r, h, s)
}

// noIntents sends non-idempotent items like others.
type noIntents struct{ fenced }

func (noIntents) recordsIntents() bool { return false }
