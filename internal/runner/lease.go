package runner

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/lease"
)

const (
	// minRenewInterval is the time between renewals in a small fleet.
	minRenewInterval = 2 * time.Second
	// renewalsPerSecond bounds the renewals of the whole fleet, which are writes to the table.
	renewalsPerSecond = 36
	// renewalsPerTerm is the number of renewals that may fail before the lease ends.
	renewalsPerTerm = 4
	// jobInterval is the time between reads of the held jobs' rows. A cancel is seen within it.
	jobInterval = time.Second
	// platformTimeout bounds a read whose result is soon out of date.
	platformTimeout = time.Second
)

// renewInterval grows with the fleet, so that the fleet's writes stay bounded.
func renewInterval(members int) time.Duration {
	return max(minRenewInterval, time.Duration(members)*time.Second/renewalsPerSecond)
}

func (r *Runner) renewLoop(ctx context.Context) error {
	for count := uint64(1); ; count++ {
		interval := renewInterval(r.config.Members())
		r.renew(ctx, interval, count)
		if !tick(ctx, interval, nil) {
			return nil
		}
	}
}

func (r *Runner) renew(ctx context.Context, interval time.Duration, count uint64) {
	term := renewalsPerTerm * interval
	// The holder counts from before the renewal was sent, so that its view of the lease ends first.
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	if err := r.config.Store.Renew(ctx, r.id, term, count); err != nil {
		r.metrics.renewalsFailed.Inc()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseHeld == nil {
		r.leaseHeld = lease.NewHolder(term)
	}
	r.leaseHeld.Renewed(sent)
}

// jobLoop reads the rows of the jobs whose chunks are held, to learn of cancels.
func (r *Runner) jobLoop(ctx context.Context) error {
	for {
		r.askJobs(ctx)
		if !tick(ctx, jobInterval, nil) {
			return nil
		}
	}
}

func (r *Runner) askJobs(ctx context.Context) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, err := r.config.Store.GetMany(ctx, r.heldJobs())
	r.mu.Lock()
	defer r.mu.Unlock()
	// While the table refuses reads, no cancel can be accepted either; held work goes on.
	r.jobsAskedAt = asked
	if err != nil {
		return
	}
	for _, record := range records {
		r.adopt(record)
	}
}

func (r *Runner) heldJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]struct{}{}
	var ids []string
	for _, h := range r.held {
		id := h.record.Job.ID
		if _, ok := seen[id]; !ok {
			seen[id] = struct{}{}
			ids = append(ids, id)
		}
	}
	return ids
}

// adopt takes in a job's present row. The caller holds the lock.
func (r *Runner) adopt(record *jobstore.Record) {
	for _, h := range r.held {
		if h.record.Job.ID != record.Job.ID || h.record.Job.IsCancelled() {
			continue
		}
		h.record = record
		if record.Job.IsCancelled() {
			h.stop(errJobCancelled)
			wake(r.settleSoon)
		}
	}
}

// stopJob cancels the running items of a job and sends no more, whether the table can be read or not.
func (r *Runner) stopJob(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.record.Job.ID == id {
			h.stop(errJobCancelled)
		}
	}
}

// refreshJob reads the row of a job that is known to have changed.
func (r *Runner) refreshJob(ctx context.Context, id string) error {
	record, err := r.config.Store.GetAny(ctx, id)
	if errors.Is(err, jobstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt(record)
	return nil
}

// watch reads the leases of the runners that hold the given work, and returns a function that reports whose have ended.
func (r *Runner) watch(ctx context.Context, work []*jobstore.Work) func(holder string) bool {
	holders := otherHolders(work, r.id)
	leases, err := r.config.Store.RunnerLeases(ctx, holders)
	now := time.Now()
	if err == nil {
		for _, l := range leases {
			r.watcher.Observe(l.Runner, l.Version, l.Term, now)
		}
	}
	r.watcher.Forget(now.Add(-time.Hour))
	return r.watcher.Expired
}

func otherHolders(work []*jobstore.Work, self string) []string {
	seen := map[string]struct{}{self: {}, "": {}}
	var holders []string
	for _, w := range work {
		if _, ok := seen[w.Chunk.Holder]; !ok {
			seen[w.Chunk.Holder] = struct{}{}
			holders = append(holders, w.Chunk.Holder)
		}
	}
	return holders
}
