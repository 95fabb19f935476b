// Package jobstore stores batch jobs in the platform's table and object store.
//
// Rows: one per job, which only a cancellation changes; one per job that counts closed chunks; one per
// open chunk, which together are the index of open work; one per closed chunk, which together are the
// manifest of the job's output; one per runner, which is its lease.
package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

var (
	// ErrNotFound means that the job or file does not exist, or belongs to another client.
	ErrNotFound = errors.New("jobstore: not found")
	// ErrFenced means that the chunk's row has changed: another runner has taken the chunk over, or it was closed.
	ErrFenced = errors.New("jobstore: chunk is held by another runner")
	// ErrCancelled means that the job was cancelled.
	ErrCancelled = errors.New("jobstore: job is cancelled")
	// ErrIdempotencyMismatch means that the idempotency key was used for another request.
	ErrIdempotencyMismatch = errors.New("jobstore: idempotency key belongs to another request")
)

// Store reads and writes batch jobs. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.Objects
	now     func() time.Time
	newID   func() string
	// timeout limits the attempts of one operation. Zero means that only the context limits them.
	timeout time.Duration
}

// New returns a store on the platform's table and object store.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{
		table:   table,
		objects: objects,
		now:     time.Now,
		newID:   func() string { return ulid.Make().String() },
	}
}

// WithTimeout returns a copy of the store whose operations stop retrying after the timeout, for callers with a client
// that waits for a response.
func (s *Store) WithTimeout(timeout time.Duration) *Store {
	copied := *s
	copied.timeout = timeout
	return &copied
}

// commit applies txn at most once, even if responses are lost, and retries until the outcome is known or the time is
// up. It returns the version of the rows written. The conditions must include the row of key; tookEffect reports
// whether that row's current value shows that txn took effect.
func (s *Store) commit(ctx context.Context, txn platform.Txn, key string, tookEffect func(platform.Row) bool) (uint64, error) {
	if s.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.timeout)
		defer cancel()
	}
	recorder := &versionRecorder{Table: s.table, key: key}
	err := platform.CommitWithRetry(ctx, recorder, txn, func(rows []platform.Row) bool {
		for _, row := range rows {
			if row.Key == key {
				return tookEffect(row)
			}
		}
		return false
	})
	return recorder.version, err
}

// versionRecorder records the version that a row got from a commit, or had when it was read back.
type versionRecorder struct {
	platform.Table
	key     string
	version uint64
}

// Commit implements platform.Table.
func (r *versionRecorder) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	version, err := r.Table.Commit(ctx, txn)
	if err == nil {
		r.version = version
	}
	return version, err
}

// Get implements platform.Table.
func (r *versionRecorder) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := r.Table.Get(ctx, keys...)
	for _, row := range rows {
		if row.Key == r.key {
			r.version = row.Version
		}
	}
	return rows, err
}

// rowEncoding keeps fractions of a second in times, since lists of jobs are sorted by time.
var rowEncoding = newRowEncoding()

func newRowEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		// Cannot happen: the options are constant and valid.
		panic(err)
	}
	return mode
}

func mustEncode(value any) []byte {
	content, err := rowEncoding.Marshal(value)
	if err != nil {
		// Cannot happen: CBOR can encode all fields of the row types.
		panic(err)
	}
	return content
}

func decode(row platform.Row, out any) error {
	if err := cbor.Unmarshal(row.Value, out); err != nil {
		return oops.In("jobstore").With("key", row.Key).Wrapf(err, "decode row")
	}
	return nil
}
