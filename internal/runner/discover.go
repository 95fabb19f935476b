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
	// scanRows is the number of open chunks read at once.
	scanRows = 64
	// maxScans bounds the reads of one search for work.
	maxScans = 4
	// searchesPerStart is the number of searches after which the start of the open work is read again.
	searchesPerStart = 16
	// discoverInterval is the time between searches while there is work, discoverIdleInterval while there is none.
	discoverInterval     = 100 * time.Millisecond
	discoverIdleInterval = time.Second
	// readyItems is the number of items ready for dispatch, for each model, below which another chunk is taken.
	readyItems = 64
)

func (r *Runner) discoverLoop(ctx context.Context) error {
	for {
		found, err := r.discover(ctx)
		interval := discoverIdleInterval
		if err == nil && found {
			interval = discoverInterval
		}
		// Jitter keeps runners that started together from searching together.
		if !tick(ctx, interval/2+rand.N(interval), nil) {
			return nil
		}
	}
}

// discover takes at most one chunk for each call. It reports whether it took one.
func (r *Runner) discover(ctx context.Context) (bool, error) {
	if !r.wantsWork() {
		return false, nil
	}
	for range maxScans {
		work, err := r.nextWork(ctx)
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

// takeOne takes a chunk that nobody else takes first.
func (r *Runner) takeOne(ctx context.Context, work []*jobstore.Work) (bool, error) {
	expired := r.watch(ctx, work)
	rand.Shuffle(len(work), func(i, j int) { work[i], work[j] = work[j], work[i] })
	for _, w := range work {
		if !r.isWanted(w, expired) {
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
func (r *Runner) nextWork(ctx context.Context) ([]*jobstore.Work, error) {
	work, err := r.config.Store.OpenWork(ctx, r.cursor, scanRows)
	if err == nil && len(work) == 0 && r.cursor != "" {
		r.cursor = ""
		work, err = r.config.Store.OpenWork(ctx, "", scanRows)
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

func (r *Runner) isWanted(w *jobstore.Work, expired func(holder string) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.held[w.Key]; ok {
		return false
	}
	if w.Chunk.Holder != "" && w.Chunk.Holder != r.id && !expired(w.Chunk.Holder) {
		return false
	}
	ready := 0
	now := time.Now()
	for _, h := range r.held {
		if h.run.Chunk().Model == w.Chunk.Model {
			ready += h.run.Ready(now)
		}
	}
	return ready < readyItems
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
	return &heldChunk{work: w, record: record, run: run, running: map[int]context.CancelCauseFunc{}, suspects: map[uint64][]int{}, events: newItemLog()}, nil
}
