package runner

import (
	"context"
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
	// forgetAfter is how long a runner is remembered that holds nothing any more.
	forgetAfter = time.Hour
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

// watch reads the leases of the runners that hold the given work, unless they were read lately.
func (r *Runner) watch(ctx context.Context, work []*jobstore.Work) {
	now := time.Now()
	gap := renewInterval(r.config.Members())
	var due []string
	for _, holder := range otherHolders(work, r.id) {
		if r.watcher.NeedsRead(holder, gap, now) {
			due = append(due, holder)
		}
	}
	leases, err := r.config.Store.RunnerLeases(ctx, due)
	if err != nil {
		return
	}
	now = time.Now()
	for _, l := range leases {
		r.watcher.Observe(l.Runner, l.Version, l.Term, now)
	}
	r.watcher.Forget(now.Add(-forgetAfter))
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
