package jobstore

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// leaseRow is a runner's lease on all chunks whose holder it is.
type leaseRow struct {
	// Term is how long the lease is valid after a renewal.
	Term time.Duration `cbor:"1,keyasint"`
	// Count makes the value differ between renewals.
	Count uint64 `cbor:"2,keyasint"`
}

// RunnerLease is a runner's lease as read by other runners.
type RunnerLease struct {
	Runner string
	// Version changes with each renewal. Zero means that the runner has left.
	Version uint64
	Term    time.Duration
}

// RenewLease writes a runner's lease, without retries. It needs no condition, since a runner's ID is never
// reused and a write that takes effect late only extends the lease.
func (s *Store) RenewLease(ctx context.Context, runner string, term time.Duration, count uint64) error {
	_, err := s.table.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: runnerKey(runner), Value: mustEncode(leaseRow{Term: term, Count: count})}},
	})
	return err
}

// DeleteLease deletes a runner's lease, so that its chunks can be taken over at once.
func (s *Store) DeleteLease(ctx context.Context, runner string) error {
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
		var lease leaseRow
		if err := decode(row, &lease); err != nil {
			return nil, err
		}
		leases[i].Term = lease.Term
	}
	return leases, nil
}
