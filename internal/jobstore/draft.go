package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
)

const (
	// maxTxnChunks is the number of chunks that one transaction writes: with the other rows of a job and the conditions they
	// stay below the platform's limit of 100 entries.
	maxTxnChunks = 90
	// draftRetention is how long after the creation of a job began its chunks are removed if the job does not exist: much
	// longer than a request lasts.
	draftRetention = 10 * time.Minute
)

// errDraftRemoved means that a job was not created, because another process took its creation for abandoned.
var errDraftRemoved = fmt.Errorf("the creation of the job took longer than %s: %w", draftRetention, platform.ErrUnavailable)

// draft is a job of too many chunks for one transaction, which is being created. Its row exists until the job does. Whoever
// removes the row keeps the job from being created.
type draft struct {
	job     *job.Job
	version uint64
	// written are the chunks that are in the table, and left those that the last transaction writes.
	written, left []*job.Chunk
}

// draftRow is the row of a draft.
type draftRow struct {
	// Chunks is the number of chunks written.
	Chunks int `cbor:"1,keyasint"`
}

// writeDraft writes the chunks that do not fit into the last transaction. Runners do not claim them before the job exists.
func (s *Store) writeDraft(ctx context.Context, j *job.Job, chunks []*job.Chunk) (*draft, error) {
	d := &draft{job: j, left: chunks}
	for len(d.left) > maxTxnChunks {
		batch := d.left[:maxTxnChunks]
		key, row := draftKey(j.ID), draftRow{Chunks: len(d.written) + len(batch)}
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: d.version}},
			Writes:     append(chunkWrites(j, batch), platform.Write{Key: key, Value: mustEncode(row)}),
		}
		version, err := s.commit(ctx, txn, key, func(current platform.Row) bool {
			var written draftRow
			return current.Version != 0 && decode(current, &written) == nil && written == row
		})
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
			return nil, errDraftRemoved
		case errors.Is(err, platform.ErrOutcomeUnknown):
			// Whether the chunks were written or not, the job does not exist.
			return nil, fmt.Errorf("write chunks of job %q: %w", j.ID, platform.ErrUnavailable)
		case err != nil:
			return nil, err
		}
		d.version = version
		d.written, d.left = append(d.written, batch...), d.left[maxTxnChunks:]
	}
	return d, nil
}

// complete adds to the transaction that creates the job that it ends the draft.
func (d *draft) complete(txn platform.Txn) platform.Txn {
	if len(d.written) == 0 {
		return txn
	}
	key := draftKey(d.job.ID)
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: d.version})
	txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
	return txn
}

// discardDraft removes the chunks of a job that is not created. What remains after an error is removed by runners.
func (s *Store) discardDraft(ctx context.Context, d *draft) {
	key := draftKey(d.job.ID)
	version := d.version
	for batch := range slices.Chunk(d.written, maxTxnChunks) {
		txn := platform.Txn{Conditions: []platform.Condition{{Key: key, Version: version}, {Key: jobKey(d.job.ID)}}}
		for _, chunk := range batch {
			txn.Writes = append(txn.Writes, platform.Write{Key: workKey(d.job, chunk.Number), Delete: true})
		}
		if version != 0 {
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
		}
		if _, err := s.table.Commit(ctx, txn); err != nil {
			return
		}
		version = 0
	}
}

// RemoveAbandoned removes an open chunk whose job was never created, because the process that was creating it is gone. It
// does nothing while the job may still be created, and fails with ErrFenced if another process is faster.
func (s *Store) RemoveAbandoned(ctx context.Context, w *Work) error {
	id, err := ulid.ParseStrict(strings.TrimPrefix(w.Chunk.Job, jobIDPrefix))
	if err != nil || s.now().Sub(ulid.Time(id.Time())) < draftRetention {
		return nil
	}
	key := draftKey(w.Chunk.Job)
	rows, err := s.table.Get(ctx, key)
	if err != nil {
		return err
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: w.Key, Version: w.Version}, {Key: jobKey(w.Chunk.Job)}, {Key: key, Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: w.Key, Delete: true}},
	}
	if rows[0].Version != 0 {
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
	}
	_, err = s.table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return ErrFenced
	}
	return err
}
