package runner

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/lease"
)

const (
	// minRenewInterval is the shortest time between renewals, used in a small fleet.
	minRenewInterval = 2 * time.Second
	// renewalsPerSecond limits the renewals of the whole fleet, each of which is a write to the table.
	renewalsPerSecond = 36
	// renewalsPerTerm is the term of a lease in renewal intervals, so that a lease outlives failed renewals.
	renewalsPerTerm = 4
	// leaseWatchRetention is how long an observed lease is kept after it was last read. Leases are read only while their runners hold chunks.
	leaseWatchRetention = time.Hour
	// endLeaseTimeout limits the deletion of the lease at shutdown.
	endLeaseTimeout = time.Second
)

// renewInterval returns the time between the renewals of one runner. It grows with the fleet, so that
// the fleet's writes per second stay bounded.
func renewInterval(members int) time.Duration {
	return max(minRenewInterval, time.Duration(members)*time.Second/renewalsPerSecond)
}

func (r *Runner) renewLoop(ctx context.Context) error {
	for count := uint64(1); ; count++ {
		interval := renewInterval(r.config.Members())
		r.renew(ctx, interval, count)
		if !waitInterval(ctx, interval, nil) {
			return nil
		}
	}
}

func (r *Runner) renew(ctx context.Context, interval time.Duration, count uint64) {
	term := renewalsPerTerm * interval
	// The holder measures the term from before the write, so that the lease ends for it before it ends for any watcher.
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	if err := r.config.Store.RenewLease(ctx, r.id, term, count); err != nil {
		r.metrics.renewalsFailed.Inc()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownLease == nil {
		r.ownLease = lease.NewHolder(term)
	}
	r.ownLease.Renewed(sent)
}

// observeLeases reads the leases of the runners that hold the given work, except those that were read within the
// last renewal interval.
func (r *Runner) observeLeases(ctx context.Context, work []*jobstore.Work) {
	now := time.Now()
	minReadInterval := renewInterval(r.config.Members())
	var due []string
	for _, holder := range otherHolders(work, r.id) {
		if r.leaseWatcher.NeedsRead(holder, minReadInterval, now) {
			due = append(due, holder)
		}
	}
	leases, err := r.config.Store.RunnerLeases(ctx, due)
	if err != nil {
		return
	}
	now = time.Now()
	for _, l := range leases {
		r.leaseWatcher.Observe(l.Runner, l.Version, l.Term, now)
	}
	r.leaseWatcher.Forget(now.Add(-leaseWatchRetention))
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
