package runner

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// commitInterval is the time between checks for results to commit.
const commitInterval = 250 * time.Millisecond

// commitLoop periodically starts the commits that are due.
func (r *Runner) commitLoop(ctx context.Context) error {
	for waitInterval(ctx, commitInterval, r.wakeCommit) {
		r.startCommits(ctx)
	}
	return nil
}

func (r *Runner) startCommits(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, h := range r.held {
		if h.isCommitting {
			continue
		}
		update := r.nextUpdate(h, now)
		if update == nil {
			continue
		}
		h.isCommitting = true
		go r.commitChunk(ctx, h, update)
	}
}

// chunkUpdate commits one change of a chunk's row. It returns nil work if the chunk is no longer held.
type chunkUpdate func(ctx context.Context) (*jobstore.Work, error)

// nextUpdate decides what to commit for a chunk, and returns nil for nothing. The caller holds the lock.
func (r *Runner) nextUpdate(h *heldChunk, now time.Time) chunkUpdate {
	isDrained := r.draining && len(h.running) == 0
	if h.record.Job.IsCancelled() {
		if len(h.running) > 0 {
			return nil
		}
		h.run.ResolveIntents(now)
		return r.commitBatch(h, h.run.Collect(), true)
	}
	isStarved := r.isStarved(h, now)
	if h.run.CommitDue(now) || isDrained || isStarved {
		if batch := h.run.Collect(); len(batch.Results) > 0 {
			return r.commitBatch(h, batch, false)
		}
	}
	if isDrained {
		return r.release(h)
	}
	if isStarved {
		r.starvation.pause(h.run.Chunk().Model, now)
		return r.release(h)
	}
	if indexes := h.run.Intents(); len(indexes) > 0 {
		return r.commitIntents(h, indexes)
	}
	return nil
}

func (r *Runner) commitIntents(h *heldChunk, indexes []int) chunkUpdate {
	row := h.run.WithIntents(indexes, r.config.Store.NewOperation())
	work, record := h.work, h.record
	return func(ctx context.Context) (*jobstore.Work, error) {
		return r.config.Store.Replace(ctx, work, row, record)
	}
}

func (r *Runner) release(h *heldChunk) chunkUpdate {
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
// that was its last result, or if closeChunk is true.
func (r *Runner) commitBatch(h *heldChunk, batch job.Batch, closeChunk bool) chunkUpdate {
	operation := r.config.Store.NewOperation()
	work, record, run := h.work, h.record, h.run
	size := responseBytes(batch)
	return func(ctx context.Context) (*jobstore.Work, error) {
		row, err := r.storeBatch(ctx, run, batch, operation)
		if err != nil {
			return nil, err
		}
		if closeChunk || row.IsDone() {
			err = r.config.Store.Close(ctx, work, row, record)
			work = nil
		} else {
			work, err = r.config.Store.Replace(ctx, work, row, record)
		}
		if err == nil {
			r.recordCommit(h, row, size)
		}
		return work, err
	}
}

func responseBytes(batch job.Batch) int {
	n := 0
	for _, result := range batch.Results {
		if result.Response != nil {
			n += len(result.Response.Body)
		}
	}
	return n
}

// storeBatch writes the segment, unless the batch is empty, and returns the row that references it.
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

func (r *Runner) recordCommit(h *heldChunk, row *job.Chunk, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.run.Committed(row, time.Now())
	r.bufferedBytes -= size
	r.metrics.segments.Inc()
}

// commitChunk runs update and applies its result to the held chunk.
func (r *Runner) commitChunk(ctx context.Context, h *heldChunk, update chunkUpdate) {
	key, id := h.work.Key, h.work.Chunk.Job
	work, err := update(ctx)
	if errors.Is(err, jobstore.ErrCancelled) {
		// isCommitting stays set until the job is read, or the same commit would be retried at once.
		err = r.refreshJob(ctx, id)
		work = h.work
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.isCommitting = false
	switch {
	case err == nil && work != nil:
		h.setWork(work)
		signal(r.wakeDemand)
	case err == nil:
		delete(r.held, key)
	case errors.Is(err, jobstore.ErrFenced):
		r.abandonChunk(key, h)
	default:
		// The next pass of the commit loop retries.
		r.config.Log.Warn().Err(err).Str("job", h.record.Job.ID).Int("chunk", h.run.Chunk().Number).Msg("chunk update not committed; it is retried")
		return
	}
	signal(r.wakeCommit)
}

// setWork records the row that this runner committed.
func (h *heldChunk) setWork(work *jobstore.Work) {
	if work == h.work {
		return
	}
	h.work = work
	h.run.Committed(work.Chunk, time.Now())
}

// abandonChunk drops a chunk that another runner has taken over. The caller holds the lock.
func (r *Runner) abandonChunk(key string, h *heldChunk) {
	h.stop(errChunkLost)
	delete(r.held, key)
	r.bufferedBytes -= responseBytes(h.run.Collect())
	r.metrics.chunksLost.Inc()
	r.config.Log.Warn().Str("job", h.record.Job.ID).Int("chunk", h.run.Chunk().Number).Msg("chunk taken over by another runner; its items are cancelled and its uncommitted results dropped")
}

// drain waits for running items, commits their results and releases all chunks, within DrainTimeout.
func (r *Runner) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.DrainTimeout)
	defer cancel()
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for waitInterval(ctx, commitInterval, nil) {
		signal(r.wakeCommit)
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
	ctx, cancel := context.WithTimeout(context.Background(), endLeaseTimeout)
	defer cancel()
	if err := r.config.Store.DeleteLease(ctx, r.id); err != nil {
		r.config.Log.Warn().Err(err).Msg("lease not deleted; chunks that are still held can be claimed only after it expires")
	}
}
