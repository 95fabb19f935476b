package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// jobIDPrefix is followed by a ULID.
const jobIDPrefix = "batch_"

// Spec describes a job to create.
type Spec struct {
	Client           string
	Endpoint         string
	CompletionWindow time.Duration
	InputFile        string
	Metadata         map[string]string
	// IdempotencyKey identifies the job together with the client, so that a retried request finds it.
	IdempotencyKey string
	// RequestDigest is the digest of the client's request.
	RequestDigest string
	Chunks        []*job.Chunk
	Items         int
}

// Record is a job with its progress.
type Record struct {
	Job             job.Job
	Progress        job.Progress
	jobVersion      uint64
	progressVersion uint64
}

// Status returns the state of the job.
func (r *Record) Status() job.Status { return job.StatusOf(&r.Job, &r.Progress) }

type idempotencyRow struct {
	Job           string `cbor:"1,keyasint"`
	RequestDigest string `cbor:"2,keyasint"`
}

// FindByIdempotencyKey returns the job that was created with a client's idempotency key. It fails with ErrNotFound, or
// with ErrIdempotencyMismatch if the key was used for another request.
func (s *Store) FindByIdempotencyKey(ctx context.Context, client, idempotencyKey, requestDigest string) (*Record, error) {
	rows, err := s.table.Get(ctx, idempotencyRowKey(client, idempotencyKey))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, ErrNotFound
	}
	var existing idempotencyRow
	if err := decode(rows[0], &existing); err != nil {
		return nil, err
	}
	if existing.RequestDigest != requestDigest {
		return nil, ErrIdempotencyMismatch
	}
	return s.GetAny(ctx, existing.Job)
}

// Create commits a job and all its chunks, or returns the job that an earlier attempt of the same request created. Nothing is
// visible to clients before the last transaction. It fails with ErrIdempotencyMismatch if the key was used for another request.
func (s *Store) Create(ctx context.Context, spec Spec) (*Record, error) {
	j := &job.Job{
		ID:               jobIDPrefix + s.newID(),
		Client:           spec.Client,
		Endpoint:         spec.Endpoint,
		CompletionWindow: spec.CompletionWindow,
		InputFile:        spec.InputFile,
		Metadata:         spec.Metadata,
		RequestDigest:    spec.RequestDigest,
		Items:            spec.Items,
		Chunks:           len(spec.Chunks),
		CreatedAt:        s.now(),
	}
	d, err := s.writeDraft(ctx, j, spec.Chunks)
	if err != nil {
		return nil, err
	}
	key := idempotencyRowKey(spec.Client, spec.IdempotencyKey)
	version, err := s.commit(ctx, d.complete(createTxn(j, d.left, spec, key)), key, func(row platform.Row) bool {
		var written idempotencyRow
		return row.Version != 0 && decode(row, &written) == nil && written.Job == j.ID
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		s.discardDraft(ctx, d)
		record, err := s.FindByIdempotencyKey(ctx, spec.Client, spec.IdempotencyKey, spec.RequestDigest)
		if errors.Is(err, ErrNotFound) {
			return nil, errDraftRemoved
		}
		return record, err
	}
	if err != nil {
		return nil, err
	}
	return &Record{Job: *j, jobVersion: version, progressVersion: version}, nil
}

func createTxn(j *job.Job, chunks []*job.Chunk, spec Spec, key string) platform.Txn {
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes: []platform.Write{
			{Key: key, Value: mustEncode(idempotencyRow{Job: j.ID, RequestDigest: spec.RequestDigest})},
			{Key: jobKey(j.ID), Value: mustEncode(j)},
			{Key: progressKey(j.ID), Value: mustEncode(job.Progress{})},
			{Key: clientJobKey(j.Client, j.ID, j.CreatedAt), Value: []byte(j.ID)},
		},
	}
	txn.Writes = append(txn.Writes, chunkWrites(j, chunks)...)
	return txn
}

func chunkWrites(j *job.Job, chunks []*job.Chunk) []platform.Write {
	writes := make([]platform.Write, len(chunks))
	for i, chunk := range chunks {
		row := *chunk
		row.Job = j.ID
		writes[i] = platform.Write{Key: workKey(j, row.Number), Value: mustEncode(&row)}
	}
	return writes
}

// Get returns a client's job.
func (s *Store) Get(ctx context.Context, client, id string) (*Record, error) {
	record, err := s.GetAny(ctx, id)
	if err != nil {
		return nil, err
	}
	if record.Job.Client != client {
		return nil, ErrNotFound
	}
	return record, nil
}

// GetAny returns a job regardless of its client. It costs one read of two rows.
func (s *Store) GetAny(ctx context.Context, id string) (*Record, error) {
	rows, err := s.table.Get(ctx, jobKey(id), progressKey(id))
	if err != nil {
		return nil, err
	}
	return decodeRecord(rows[0], rows[1])
}

func decodeRecord(jobRow, progressRow platform.Row) (*Record, error) {
	if jobRow.Version == 0 {
		return nil, ErrNotFound
	}
	record := &Record{jobVersion: jobRow.Version, progressVersion: progressRow.Version}
	if err := decode(jobRow, &record.Job); err != nil {
		return nil, err
	}
	if err := decode(progressRow, &record.Progress); err != nil {
		return nil, err
	}
	return record, nil
}

// List returns up to limit jobs of a client that were created before the job with ID after, newest first.
// With an empty after it starts at the newest. It costs two reads, and one more if after is not empty.
func (s *Store) List(ctx context.Context, client, after string, limit int) ([]*Record, error) {
	start := ""
	if after != "" {
		record, err := s.Get(ctx, client, after)
		if err != nil {
			return nil, err
		}
		start = clientJobKey(client, after, record.Job.CreatedAt)
	}
	index, err := s.table.Scan(ctx, clientJobsPrefix(client), start, limit)
	if err != nil || len(index) == 0 {
		return nil, err
	}
	ids := make([]string, len(index))
	for i, row := range index {
		ids[i] = string(row.Value)
	}
	return s.GetMany(ctx, ids)
}

// Cancel cancels a job. Once it returns, no result of an item that had not finished can be
// committed. A job that is already cancelled or finished is returned unchanged.
func (s *Store) Cancel(ctx context.Context, id string) (*Record, error) {
	for {
		record, err := s.GetAny(ctx, id)
		if err != nil || record.Job.IsCancelled() || !record.Progress.FinishedAt.IsZero() {
			return record, err
		}
		record.Job.CancelledAt = s.now()
		key := jobKey(id)
		txn := platform.Txn{
			// The condition on the progress row keeps a job that finishes meanwhile from being marked as cancelled.
			Conditions: []platform.Condition{{Key: key, Version: record.jobVersion}, {Key: progressKey(id), Version: record.progressVersion}},
			Writes:     []platform.Write{{Key: key, Value: mustEncode(&record.Job)}},
		}
		record.jobVersion, err = s.commit(ctx, txn, key, func(row platform.Row) bool {
			var j job.Job
			return decode(row, &j) == nil && j.IsCancelled()
		})
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		return record, err
	}
}

// GetMany returns those jobs of ids that exist. It costs one read of two rows per job.
func (s *Store) GetMany(ctx context.Context, ids []string) ([]*Record, error) {
	if len(ids) == 0 {
		return nil, nil
	}
	keys := make([]string, 0, 2*len(ids))
	for _, id := range ids {
		keys = append(keys, jobKey(id), progressKey(id))
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var records []*Record
	for i := 0; i < len(rows); i += 2 {
		record, err := decodeRecord(rows[i], rows[i+1])
		if errors.Is(err, ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Jobs returns those jobs of ids that exist, without their progress. It costs one read of one row per job.
func (s *Store) Jobs(ctx context.Context, ids []string) ([]*Record, error) {
	if len(ids) == 0 {
		return nil, nil
	}
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = jobKey(id)
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var records []*Record
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		record := &Record{jobVersion: row.Version}
		if err := decode(row, &record.Job); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
