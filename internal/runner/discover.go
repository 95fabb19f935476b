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
	// scanRows is the number of open chunks read at once, fedScanRows by a runner that has enough items of its models.
	scanRows    = 32
	fedScanRows = 8
	// maxScans bounds the reads of one search for work.
	maxScans = 4
	// searchesPerStart is the number of searches after which the start of the open work is read again.
	searchesPerStart = 16
	// discoverInterval is the time between searches while chunks are found.
	discoverInterval = 100 * time.Millisecond
	// Bounds of the time between searches that find nothing. It grows with the fleet, so that the
	// fleet's reads stay bounded.
	minIdleInterval   = time.Second
	maxIdleInterval   = 5 * time.Second
	searchesPerSecond = 72
	// Bounds of the time between searches while there are enough items of the models at hand.
	minFedInterval       = 2 * time.Second
	maxFedInterval       = 15 * time.Second
	fedSearchesPerSecond = 24
	// readyItems is the number of items ready for dispatch, for each model, below which another chunk is taken.
	readyItems = 64
)

func (r *Runner) discoverLoop(ctx context.Context) error {
	for {
		isFed := r.isFed()
		found, err := r.discover(ctx, isFed)
		interval := spreadInterval(r.config.Members(), searchesPerSecond, minIdleInterval, maxIdleInterval)
		switch {
		case err == nil && found:
			interval = discoverInterval
		case isFed:
			interval = spreadInterval(r.config.Members(), fedSearchesPerSecond, minFedInterval, maxFedInterval)
		}
		// Jitter keeps runners that started together from searching together.
		if !tick(ctx, interval/2+rand.N(interval), r.discoverSoon) {
			return nil
		}
	}
}

// spreadInterval returns the time between the searches of one runner, for which the fleet makes perSecond of them.
func spreadInterval(members, perSecond int, least, most time.Duration) time.Duration {
	return min(max(least, time.Duration(members)*time.Second/time.Duration(perSecond)), most)
}

// discover takes at most one chunk for each call. It reports whether it took one. A runner that has
// enough items of its models looks at one part of the work only, for items of other models.
func (r *Runner) discover(ctx context.Context, isFed bool) (bool, error) {
	if !r.wantsWork() {
		return false, nil
	}
	scans, rows := maxScans, scanRows
	if isFed {
		scans, rows = 1, fedScanRows
	}
	for range scans {
		work, err := r.nextWork(ctx, rows)
		if err != nil || len(work) == 0 {
			return false, err
		}
		taken, err := r.takeOne(ctx, work)
		if taken || err != nil {
			r.restart()
			return taken, err
		}
	}
	return false, nil
}

// isFed reports whether enough items are ready of each model that the runner has chunks of.
func (r *Runner) isFed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ready := range r.readyByModel() {
		if ready < readyItems {
			return false
		}
	}
	return len(r.held) > 0
}

// readyByModel counts the items that could be sent. The caller holds the lock.
func (r *Runner) readyByModel() map[string]int {
	now := time.Now()
	ready := map[string]int{}
	for _, h := range r.held {
		ready[h.run.Chunk().Model] += h.run.Ready(now)
	}
	return ready
}

// takeOne takes a chunk that nobody else takes first.
func (r *Runner) takeOne(ctx context.Context, work []*jobstore.Work) (bool, error) {
	r.watch(ctx, work)
	rand.Shuffle(len(work), func(i, j int) { work[i], work[j] = work[j], work[i] })
	for _, w := range work {
		if !r.isWanted(w) {
			continue
		}
		err := r.take(ctx, w)
		if !errors.Is(err, jobstore.ErrFenced) {
			return err == nil, err
		}
		r.metrics.claimsLost.Inc()
	}
	return false, nil
}

// nextWork reads the open work after the cursor, and from the start once the end is reached.
func (r *Runner) nextWork(ctx context.Context, rows int) ([]*jobstore.Work, error) {
	work, err := r.config.Store.OpenWork(ctx, r.cursor, rows)
	if err == nil && len(work) == 0 && r.cursor != "" {
		r.cursor = ""
		work, err = r.config.Store.OpenWork(ctx, "", rows)
	}
	if len(work) == 0 {
		return nil, err
	}
	if r.cursor == "" {
		r.earliest = work[0].Key
	}
	r.cursor = work[len(work)-1].Key
	return work, nil
}

// restart moves the cursor to a random place among the work that is due first, so that runners do
// not race for one chunk. Every few searches it goes back to the start, to see work that is due sooner.
func (r *Runner) restart() {
	r.searches++
	if r.earliest == "" || r.searches%searchesPerStart == 0 {
		r.cursor = ""
		return
	}
	r.cursor = jobstore.WorkCursor(r.earliest, rand.Uint32())
}

// wantsWork reports whether the runner may take another chunk. Without a valid lease its chunks
// would soon be taken over, so it takes none.
func (r *Runner) wantsWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && r.leaseHeld != nil && r.leaseHeld.Valid(time.Now()) && len(r.held) < r.config.MaxChunks
}

func (r *Runner) isWanted(w *jobstore.Work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.held[w.Key]; ok {
		return false
	}
	if w.Chunk.Holder != "" && w.Chunk.Holder != r.id && !r.watcher.Expired(w.Chunk.Holder) {
		return false
	}
	model := w.Chunk.Model
	return r.readyByModel()[model] < readyItems && r.starvation.mayTake(model, r.holdsModel(model), time.Now())
}

func (r *Runner) take(ctx context.Context, w *jobstore.Work) error {
	claimed, err := r.config.Store.Claim(ctx, w, r.id)
	if err != nil {
		return err
	}
	h, err := r.load(ctx, claimed)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[claimed.Key] = h
	r.metrics.chunksTaken.Inc()
	wake(r.settleSoon)
	wake(r.demandSoon)
	r.config.Log.Debug().Str("job", w.Chunk.Job).Int("chunk", w.Chunk.Number).Uint64("epoch", claimed.Chunk.Epoch).Msg("chunk taken")
	return nil
}

func (r *Runner) load(ctx context.Context, w *jobstore.Work) (*heldChunk, error) {
	asked := time.Now()
	record, err := r.config.Store.GetAny(ctx, w.Chunk.Job)
	if err != nil {
		return nil, err
	}
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
		confirmedAt: asked,
		takenAt:     time.Now(),
		running:     map[int]context.CancelCauseFunc{},
		suspects:    map[uint64][]int{},
		events:      newItemLog(),
	}, nil
}
