package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Delays between attempts to repeat a commit or to read its outcome. They grow exponentially, so that the retries of a
// whole fleet do not overload a table that is recovering.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

func retryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}

// Applied reports whether rows, which were just read, show that the transaction took effect.
type Applied func(rows []Row) bool

// CommitWithRetry commits txn until its outcome is known or ctx ends.
//
// When a response is lost, it sends the transaction again under the same conditions. If that
// conflicts, it reads the rows of the conditions and calls applied to find out whether they carry this
// transaction's own operation ID. At least one condition must name a row that txn writes: that
// condition holds at most once, so a repeated transaction cannot be applied twice.
//
// It returns nil when the transaction was applied, *ConflictError when it was not and can no longer be, and
// ErrOutcomeUnknown or ErrUnavailable when ctx ended first.
func CommitWithRetry(ctx context.Context, table Table, txn Txn, applied Applied) error {
	outcomeUnknown := false
	delays := retryDelays()
	for {
		_, err := table.Commit(ctx, txn)
		var conflict *ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict) && !outcomeUnknown:
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
			outcomeUnknown = true
		case !errors.Is(err, ErrUnavailable):
			return err
		}
		if waitErr := sleep(ctx, delays.NextBackOff()); waitErr != nil {
			if outcomeUnknown {
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
