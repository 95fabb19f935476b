package jobstore

import (
	"context"
	"errors"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// Work is the row of an open chunk.
type Work struct {
	Key     string
	Version uint64
	Chunk   *job.Chunk
}

// NewOperation returns a unique ID for a write.
func (s *Store) NewOperation() string { return s.newID() }

// OpenWork returns up to limit open chunks whose keys are greater than after. It costs one read.
func (s *Store) OpenWork(ctx context.Context, after string, limit int) ([]*Work, error) {
	rows, err := s.table.Scan(ctx, workPrefix, after, limit)
	if err != nil {
		return nil, err
	}
	work := make([]*Work, 0, len(rows))
	for _, row := range rows {
		w, err := decodeWork(row)
		if err != nil {
			return nil, err
		}
		work = append(work, w)
	}
	return work, nil
}

func decodeWork(row platform.Row) (*Work, error) {
	w := &Work{Key: row.Key, Version: row.Version, Chunk: new(job.Chunk)}
	return w, decode(row, w.Chunk)
}

// Claim makes the runner the holder of an open chunk and increments the chunk's epoch. It fails with ErrFenced if the row has changed.
func (s *Store) Claim(ctx context.Context, w *Work, runner string) (*Work, error) {
	return s.replace(ctx, w, w.Chunk.Claimed(runner, s.newID()), nil)
}

// Replace commits a new row of a held chunk, if neither the chunk's row nor its job has changed.
// Otherwise it fails with ErrFenced or ErrCancelled.
func (s *Store) Replace(ctx context.Context, w *Work, row *job.Chunk, record *Record) (*Work, error) {
	return s.replace(ctx, w, row, []platform.Condition{{Key: jobKey(row.Job), Version: record.jobVersion}})
}

// Release commits the row that gives a held chunk back, even if its job was cancelled. It fails with ErrFenced if the
// chunk's row has changed.
func (s *Store) Release(ctx context.Context, w *Work, row *job.Chunk) error {
	_, err := s.replace(ctx, w, row, nil)
	return err
}

func (s *Store) replace(ctx context.Context, w *Work, row *job.Chunk, extra []platform.Condition) (*Work, error) {
	txn := platform.Txn{
		Conditions: append([]platform.Condition{{Key: w.Key, Version: w.Version}}, extra...),
		Writes:     []platform.Write{{Key: w.Key, Value: mustEncode(row)}},
	}
	version, err := s.commit(ctx, txn, w.Key, func(currentRow platform.Row) bool { return hasOperation(currentRow, row.Operation) })
	if err != nil {
		return nil, conflictCause(err, w.Key)
	}
	return &Work{Key: w.Key, Version: version, Chunk: row}, nil
}

func hasOperation(row platform.Row, operation string) bool {
	var c job.Chunk
	return row.Version != 0 && decode(row, &c) == nil && c.Operation == operation
}

// conflictCause maps a conflict to ErrFenced if the chunk's row has changed, and to ErrCancelled otherwise.
func conflictCause(err error, key string) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, row := range conflict.Rows {
		if row.Key == key {
			return ErrFenced
		}
	}
	return ErrCancelled
}

// PutSegment stores results as a segment. It retries until ctx or the store's timeout ends.
func (s *Store) PutSegment(ctx context.Context, c *job.Chunk, operation string, results []*job.Result) (job.Segment, error) {
	content, segment, err := job.EncodeSegment(results)
	if err != nil {
		return job.Segment{}, err
	}
	segment.Object = SegmentObject(c, operation)
	return segment, s.putObject(ctx, segment.Object, content)
}

// Close commits the final row of a chunk, removes it from the open work and counts it in the job's
// progress, in one transaction. Closing the last chunk finishes the job. It fails with
// ErrFenced, or with ErrCancelled if the job was cancelled after record was read.
func (s *Store) Close(ctx context.Context, w *Work, row *job.Chunk, record *Record) error {
	for {
		err := s.tryClose(ctx, w, row, record)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || !isProgressConflict(conflict, row.Job) {
			return conflictCause(err, w.Key)
		}
	}
}

// isProgressConflict reports whether only the job's progress row has changed, because another chunk of the job
// was closed at the same time.
func isProgressConflict(conflict *platform.ConflictError, id string) bool {
	return len(conflict.Rows) == 1 && conflict.Rows[0].Key == progressKey(id)
}

func (s *Store) tryClose(ctx context.Context, w *Work, row *job.Chunk, record *Record) error {
	progress, err := s.getRows(ctx, progressKey(row.Job))
	if err != nil {
		return err
	}
	var current job.Progress
	if err := decode(progress[0], &current); err != nil {
		return err
	}
	closedKey := chunkKey(row.Job, row.Number)
	txn := platform.Txn{
		Conditions: []platform.Condition{
			{Key: w.Key, Version: w.Version},
			{Key: jobKey(row.Job), Version: record.jobVersion},
			{Key: progress[0].Key, Version: progress[0].Version},
			{Key: closedKey},
		},
		Writes: []platform.Write{
			{Key: w.Key, Delete: true},
			{Key: closedKey, Value: mustEncode(row)},
			{Key: progress[0].Key, Value: mustEncode(current.Add(&record.Job, row, s.now()))},
		},
	}
	_, err = s.commit(ctx, txn, closedKey, func(currentRow platform.Row) bool { return hasOperation(currentRow, row.Operation) })
	return err
}
