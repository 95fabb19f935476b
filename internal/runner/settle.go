package runner

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// settleInterval is the time between looks at what has to be committed.
const settleInterval = 250 * time.Millisecond

// settleLoop starts the commits that are due.
func (r *Runner) settleLoop(ctx context.Context) error {
	for tick(ctx, settleInterval, r.settleSoon) {
		r.settleAll(ctx)
	}
	return nil
}

func (r *Runner) settleAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, h := range r.held {
		if h.isSettling {
			continue
		}
		step := r.nextStep(h, now)
		if step == nil {
			continue
		}
		h.isSettling = true
		go r.settle(ctx, h, step)
	}
}

// step is one change of a chunk's row.
type step func(ctx context.Context) (*jobstore.Work, error)

// nextStep decides what to commit for a chunk. The caller holds the lock.
func (r *Runner) nextStep(h *heldChunk, now time.Time) step {
	isLeaving := r.draining && len(h.running) == 0
	if h.record.Job.IsCancelled() {
		if len(h.running) > 0 {
			return nil
		}
		h.run.ResolveIntents(now)
		return r.commitBatch(h, h.run.Collect(), true)
	}
	isStarved := r.isStarved(h, now)
	if h.run.CommitDue(now) || isLeaving || isStarved {
		if batch := h.run.Collect(); len(batch.Results) > 0 {
			return r.commitBatch(h, batch, false)
		}
	}
	if isLeaving {
		return r.release(h)
	}
	if isStarved {
		r.starvation.begin(h.run.Chunk().Model, now)
		return r.release(h)
	}
	if indexes := h.run.Intents(); len(indexes) > 0 {
		return r.commitIntents(h, indexes)
	}
	return nil
}

func (r *Runner) commitIntents(h *heldChunk, indexes []int) step {
	row := h.run.WithIntents(indexes, r.config.Store.NewOperation())
	work, record := h.work, h.record
	return func(ctx context.Context) (*jobstore.Work, error) {
		return r.config.Store.Replace(ctx, work, row, record)
	}
}

func (r *Runner) release(h *heldChunk) step {
	row := h.run.Released(r.config.Store.NewOperation())
	work := h.work
	return func(ctx context.Context) (*jobstore.Work, error) {
		if err := r.config.Store.Release(ctx, work, row); err != nil {
			return nil, err
		}
		return nil, nil
	}
}

// commitBatch stores results as a segment and adds it to the chunk's row. The chunk is closed if
// that was its last result, or if closing is true.
func (r *Runner) commitBatch(h *heldChunk, batch job.Batch, closing bool) step {
	operation := r.config.Store.NewOperation()
	work, record, run := h.work, h.record, h.run
	bytes := sizeOf(batch)
	return func(ctx context.Context) (*jobstore.Work, error) {
		row, err := r.storeBatch(ctx, run, batch, operation)
		if err != nil {
			return nil, err
		}
		if closing || row.IsDone() {
			err = r.config.Store.Close(ctx, work, row, record)
			work = nil
		} else {
			work, err = r.config.Store.Replace(ctx, work, row, record)
		}
		if err == nil {
			r.committed(h, row, bytes)
		}
		return work, err
	}
}

func sizeOf(batch job.Batch) int {
	n := 0
	for _, result := range batch.Results {
		if result.Response != nil {
			n += len(result.Response.Body)
		}
	}
	return n
}

// storeBatch writes the segment, if there is anything to write, and returns the row that names it.
func (r *Runner) storeBatch(ctx context.Context, run *job.Run, batch job.Batch, operation string) (*job.Chunk, error) {
	if len(batch.Results) == 0 {
		return run.WithOperation(operation), nil
	}
	segment, err := r.config.Store.PutSegment(ctx, run.Chunk(), operation, batch.Results)
	if err != nil {
		return nil, err
	}
	return run.WithBatch(batch, segment, operation), nil
}

func (r *Runner) committed(h *heldChunk, row *job.Chunk, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.run.Committed(row, time.Now())
	r.buffered -= bytes
	r.metrics.segments.Inc()
}

// settle carries out a step. A nil work from the step means that the chunk is no longer held.
func (r *Runner) settle(ctx context.Context, h *heldChunk, step step) {
	key, id := h.work.Key, h.work.Chunk.Job
	work, err := step(ctx)
	if errors.Is(err, jobstore.ErrCancelled) {
		// The chunk stays marked until the job is read, or the same commit would be tried again at once.
		err = r.refreshJob(ctx, id)
		work = h.work
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.isSettling = false
	switch {
	case err == nil && work != nil:
		h.adopt(work)
		wake(r.demandSoon)
	case err == nil:
		delete(r.held, key)
	case errors.Is(err, jobstore.ErrFenced):
		r.drop(key, h)
	default:
		// The next look at the chunk tries again.
		r.config.Log.Warn().Err(err).Str("job", h.record.Job.ID).Int("chunk", h.run.Chunk().Number).Msg("commit failed")
		return
	}
	wake(r.settleSoon)
}

// adopt takes in the row that this runner committed.
func (h *heldChunk) adopt(work *jobstore.Work) {
	if work == h.work {
		return
	}
	h.work = work
	h.run.Committed(work.Chunk, time.Now())
}

// drop gives up a chunk that another runner has taken over. The caller holds the lock.
func (r *Runner) drop(key string, h *heldChunk) {
	h.stop(errChunkLost)
	delete(r.held, key)
	r.buffered -= sizeOf(h.run.Collect())
	r.metrics.chunksLost.Inc()
	r.config.Log.Warn().Str("job", h.record.Job.ID).Int("chunk", h.run.Chunk().Number).Msg("chunk was taken over by another runner")
}

// drain waits for running items, commits their results and hands all chunks back.
func (r *Runner) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.DrainTimeout)
	defer cancel()
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for tick(ctx, settleInterval, nil) {
		wake(r.settleSoon)
		if r.heldCount() == 0 {
			return
		}
	}
}

func (r *Runner) heldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

func (r *Runner) endLease() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := r.config.Store.EndRunner(ctx, r.id); err != nil {
		r.config.Log.Warn().Err(err).Msg("lease could not be ended; chunks that are still held wait for its expiry")
	}
}
