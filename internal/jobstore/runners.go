package jobstore

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// runnerRow is a runner's lease on all the chunks that name it as their holder.
type runnerRow struct {
	// Term is how long a renewal lasts.
	Term time.Duration `cbor:"1,keyasint"`
	// Count makes each renewal a new value.
	Count uint64 `cbor:"2,keyasint"`
}

// RunnerLease is what a watcher reads of a runner's lease.
type RunnerLease struct {
	Runner string
	// Version changes with each renewal. Zero means that the runner has left.
	Version uint64
	Term    time.Duration
}

// Renew writes a runner's lease once. No condition is needed, since a runner's id is never used
// again; a write that takes effect late only prolongs the lease.
func (s *Store) Renew(ctx context.Context, runner string, term time.Duration, count uint64) error {
	_, err := s.table.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: runnerKey(runner), Value: mustEncode(runnerRow{Term: term, Count: count})}},
	})
	return err
}

// EndRunner deletes a runner's lease, so that its chunks can be taken over at once.
func (s *Store) EndRunner(ctx context.Context, runner string) error {
	_, err := s.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: runnerKey(runner), Delete: true}}})
	return err
}

// RunnerLeases reads the leases of runners. It costs one read.
func (s *Store) RunnerLeases(ctx context.Context, runners []string) ([]RunnerLease, error) {
	if len(runners) == 0 {
		return nil, nil
	}
	keys := make([]string, len(runners))
	for i, runner := range runners {
		keys[i] = runnerKey(runner)
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	leases := make([]RunnerLease, len(rows))
	for i, row := range rows {
		leases[i] = RunnerLease{Runner: runners[i], Version: row.Version}
		if row.Version == 0 {
			continue
		}
		var r runnerRow
		if err := decode(row, &r); err != nil {
			return nil, err
		}
		leases[i].Term = r.Term
	}
	return leases, nil
}
