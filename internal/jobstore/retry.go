package jobstore

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Initial and maximum wait between attempts of an operation on the platform.
const (
	platformRetryDelay    = 100 * time.Millisecond
	platformMaxRetryDelay = 5 * time.Second
)

func retryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = platformRetryDelay
	delays.MaxInterval = platformMaxRetryDelay
	return delays
}

func isTransient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

func permanentUnlessTransient(err error) error {
	if err != nil && !isTransient(err) {
		return backoff.Permanent(err)
	}
	return err
}

// putObject stores an object, and retries until ctx or the store's timeout ends. Objects are immutable, so a repeated put is harmless.
func (s *Store) putObject(ctx context.Context, name string, content []byte) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, permanentUnlessTransient(s.objects.Put(ctx, name, content))
	}, backoff.WithBackOff(retryDelays()), backoff.WithMaxElapsedTime(s.timeout))
	return err
}

// openObject opens an object for reading, and retries until ctx or the store's timeout ends.
func (s *Store) openObject(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	return backoff.Retry(ctx, func() (io.ReadCloser, error) {
		object, err := s.objects.Get(ctx, name, offset, length)
		return object, permanentUnlessTransient(err)
	}, backoff.WithBackOff(retryDelays()), backoff.WithMaxElapsedTime(s.timeout))
}

// getRows reads rows, and retries until ctx or the store's timeout ends.
func (s *Store) getRows(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return backoff.Retry(ctx, func() ([]platform.Row, error) {
		rows, err := s.table.Get(ctx, keys...)
		return rows, permanentUnlessTransient(err)
	}, backoff.WithBackOff(retryDelays()), backoff.WithMaxElapsedTime(s.timeout))
}
