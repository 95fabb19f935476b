package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the time between attempts to learn or repeat the outcome of a commit. It grows, so that
// a fleet that waits for the table does not keep it down.
const (
	settleDelay    = 50 * time.Millisecond
	maxSettleDelay = 2 * time.Second
)

func settleDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = settleDelay
	delays.MaxInterval = maxSettleDelay
	return delays
}

// Applied reports whether the rows just read show that the transaction took effect.
type Applied func(rows []Row) bool

// CommitWithRetry commits txn until its outcome is known or ctx ends.
//
// When a reply is lost, it sends the transaction again under the same conditions. If that
// conflicts, it reads the rows of the conditions and asks applied whether they show this
// transaction's own operation id. At least one condition must name a row that txn writes: that
// condition holds at most once, so a repeated transaction cannot apply twice.
//
// It returns nil when the transaction is in force, *ConflictError when it can no longer be, and
// ErrOutcomeUnknown or ErrUnavailable when ctx ended first.
func CommitWithRetry(ctx context.Context, table Table, txn Txn, applied Applied) error {
	uncertain := false
	delays := settleDelays()
	for {
		_, err := table.Commit(ctx, txn)
		var conflict *ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict) && !uncertain:
			return err
		case errors.As(err, &conflict):
			rows, readErr := table.Get(ctx, conditionKeys(txn)...)
			if readErr == nil {
				if applied(rows) {
					return nil
				}
				return err
			}
		case errors.Is(err, ErrOutcomeUnknown):
			uncertain = true
		case !errors.Is(err, ErrUnavailable):
			return err
		}
		if waitErr := sleep(ctx, delays.NextBackOff()); waitErr != nil {
			if uncertain {
				return ErrOutcomeUnknown
			}
			return ErrUnavailable
		}
	}
}

func conditionKeys(txn Txn) []string {
	keys := make([]string, 0, len(txn.Conditions))
	for _, c := range txn.Conditions {
		keys = append(keys, c.Key)
	}
	return keys
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
