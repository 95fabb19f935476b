package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/job"
)

const (
	// scanRows is the number of open chunks read per scan, saturatedScanRows that of a saturated runner, which has
	// enough items ready of each of its models.
	scanRows          = 32
	saturatedScanRows = 8
	// maxScans is the maximum number of scans in one search for work.
	maxScans = 4
	// Every searchesPerReset-th move of the cursor sets it back to the first open chunk.
	searchesPerReset = 16
	// discoverInterval is the time between searches while chunks are found.
	discoverInterval = 100 * time.Millisecond
	// Limits of the time between searches that find nothing. The time grows with the fleet, towards a total of
	// searchesPerSecond searches per second, so that the fleet's reads stay bounded.
	minIdleInterval   = time.Second
	maxIdleInterval   = 5 * time.Second
	searchesPerSecond = 72
	// The same limits for a saturated runner.
	minSaturatedInterval       = 2 * time.Second
	maxSaturatedInterval       = 15 * time.Second
	saturatedSearchesPerSecond = 24
	// minReadyItems is the number of items of a model ready for dispatch below which another chunk is claimed.
	minReadyItems = 64
)

func (r *Runner) discoverLoop(ctx context.Context) error {
	for {
		saturated := r.isSaturated()
		found, err := r.discover(ctx, saturated)
		interval := searchInterval(r.config.Members(), searchesPerSecond, minIdleInterval, maxIdleInterval)
		switch {
		case err == nil && found:
			interval = discoverInterval
		case saturated:
			interval = searchInterval(r.config.Members(), saturatedSearchesPerSecond, minSaturatedInterval, maxSaturatedInterval)
		}
		// Jitter keeps runners that started at the same time from searching at the same time.
		if !waitInterval(ctx, interval/2+rand.N(interval), r.wakeDiscovery) {
			return nil
		}
	}
}

// searchInterval returns the time between the searches of one runner at which the whole fleet makes perSecond searches,
// limited to the given range.
func searchInterval(members, perSecond int, shortest, longest time.Duration) time.Duration {
	return min(max(shortest, time.Duration(members)*time.Second/time.Duration(perSecond)), longest)
}

// discover claims at most one chunk and reports whether it claimed one. A saturated runner makes a single
// small scan, for items of other models.
func (r *Runner) discover(ctx context.Context, saturated bool) (bool, error) {
	if !r.canClaim() {
		return false, nil
	}
	scans, rows := maxScans, scanRows
	if saturated {
		scans, rows = 1, saturatedScanRows
	}
	for range scans {
		work, err := r.readOpenWork(ctx, rows)
		if err != nil || len(work) == 0 {
			return false, err
		}
		claimed, err := r.claimOne(ctx, work)
		if claimed || err != nil {
			r.moveCursor()
			return claimed, err
		}
	}
	return false, nil
}

// isSaturated reports whether the runner holds chunks and has enough items ready of each of their models.
func (r *Runner) isSaturated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ready := range r.readyByModel() {
		if ready < minReadyItems {
			return false
		}
	}
	return len(r.held) > 0
}

// readyByModel counts the items that are ready for dispatch. The caller holds the lock.
func (r *Runner) readyByModel() map[string]int {
	now := time.Now()
	ready := map[string]int{}
	for _, h := range r.held {
		ready[h.run.Chunk().Model] += h.run.Ready(now)
	}
	return ready
}

// claimOne claims one chunk. It moves on to the next one when another runner is faster.
func (r *Runner) claimOne(ctx context.Context, work []*jobstore.Work) (bool, error) {
	r.observeLeases(ctx, work)
	rand.Shuffle(len(work), func(i, j int) { work[i], work[j] = work[j], work[i] })
	for _, w := range work {
		if !r.isClaimable(w) {
			continue
		}
		err := r.claim(ctx, w)
		if !errors.Is(err, jobstore.ErrFenced) {
			return err == nil, err
		}
		r.metrics.claimsLost.Inc()
	}
	return false, nil
}

// readOpenWork reads the open work after the cursor, and wraps around to the start at the end.
func (r *Runner) readOpenWork(ctx context.Context, rows int) ([]*jobstore.Work, error) {
	work, err := r.config.Store.OpenWork(ctx, r.cursor, rows)
	if err == nil && len(work) == 0 && r.cursor != "" {
		r.cursor = ""
		work, err = r.config.Store.OpenWork(ctx, "", rows)
	}
	if len(work) == 0 {
		return nil, err
	}
	if r.cursor == "" {
		r.earliestKey = work[0].Key
	}
	r.cursor = work[len(work)-1].Key
	return work, nil
}

// moveCursor moves the cursor to a random position within the hour that is due first, so that runners do
// not race for the same chunk. Every searchesPerReset calls it moves back to the start, to find new work that is due sooner.
func (r *Runner) moveCursor() {
	r.searchCount++
	if r.earliestKey == "" || r.searchCount%searchesPerReset == 0 {
		r.cursor = ""
		return
	}
	r.cursor = jobstore.WorkCursor(r.earliestKey, rand.Uint32())
}

// canClaim reports whether the runner may claim another chunk. Without a valid lease its chunks
// would soon be taken over, so it claims none.
func (r *Runner) canClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && r.ownLease != nil && r.ownLease.Valid(time.Now()) && len(r.held) < r.config.MaxChunks
}

func (r *Runner) isClaimable(w *jobstore.Work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.held[w.Key]; ok {
		return false
	}
	if w.Chunk.Holder != "" && w.Chunk.Holder != r.id && !r.leaseWatcher.Expired(w.Chunk.Holder) {
		return false
	}
	model := w.Chunk.Model
	return r.readyByModel()[model] < minReadyItems && r.starvation.mayClaim(model, r.holdsModel(model), time.Now())
}

func (r *Runner) claim(ctx context.Context, w *jobstore.Work) error {
	requestedAt := time.Now()
	record, err := r.config.Store.GetAny(ctx, w.Chunk.Job)
	if errors.Is(err, jobstore.ErrNotFound) {
		// The job is being created, or its creation was abandoned.
		if err := r.config.Store.RemoveAbandoned(ctx, w); err != nil {
			return err
		}
		return jobstore.ErrFenced
	}
	if err != nil {
		return err
	}
	claimed, err := r.config.Store.Claim(ctx, w, r.id)
	if err != nil {
		return err
	}
	h, err := r.loadChunk(ctx, claimed, record, requestedAt)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[claimed.Key] = h
	r.metrics.chunksClaimed.Inc()
	signal(r.wakeCommit)
	signal(r.wakeDemand)
	r.config.Log.Debug().Str("job", w.Chunk.Job).Int("chunk", w.Chunk.Number).Uint64("epoch", claimed.Chunk.Epoch).Msg("chunk claimed")
	return nil
}

// loadChunk loads a claimed chunk of a job that was read at requestedAt.
func (r *Runner) loadChunk(ctx context.Context, w *jobstore.Work, record *jobstore.Record, requestedAt time.Time) (*heldChunk, error) {
	lines, err := r.config.Store.Lines(ctx, &record.Job, w.Chunk)
	if err != nil {
		return nil, err
	}
	run, err := job.NewRun(w.Chunk, lines, r.config.Policy, time.Now())
	if err != nil {
		return nil, err
	}
	if record.Job.IsCancelled() {
		run.Stop()
	}
	return &heldChunk{
		work:        w,
		record:      record,
		run:         run,
		confirmedAt: requestedAt,
		claimedAt:   time.Now(),
		running:     map[int]context.CancelCauseFunc{},
		suspects:    map[uint64][]int{},
		events:      newItemLog(),
	}, nil
}
