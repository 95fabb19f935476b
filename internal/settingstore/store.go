// Package settingstore stores the revisions of the settings in the platform's table: one immutable
// row for each revision and a head row with the newest revision number. At intervals, it also stores an image of the
// whole tree in the object store, so that a VM that starts reads few revisions.
package settingstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Keys of rows and objects.
const (
	headKey        = "settings/head"
	imageKey       = "settings/image"
	revisionPrefix = "settings/revision/"
	imagePrefix    = "settings/images/"
)

const (
	// imageInterval is the number of revisions between images.
	imageInterval = 64
	// maxRevisionsPerRead limits the revisions that one scan of the table returns.
	maxRevisionsPerRead = 64
	// maxCommitAttempts limits how often a change is planned when concurrent commits update the head.
	maxCommitAttempts = 8
)

// Store reads and commits revisions of the settings.
type Store struct {
	table   platform.Table
	objects platform.Objects
	now     func() time.Time
}

// New returns a store on the platform's table and object store.
func New(table platform.Table, objects platform.Objects) *Store {
	return &Store{table: table, objects: objects, now: time.Now}
}

// head is the row that names the newest revision.
type head struct {
	Number    uint64 `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
}

// Head returns the number of the newest committed revision.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	h, err := decodeHead(rows[0])
	return h.Number, err
}

func decodeHead(row platform.Row) (head, error) {
	var h head
	if row.Version == 0 {
		return h, nil
	}
	if err := cbor.Unmarshal(row.Value, &h); err != nil {
		return h, oops.In("settingstore").Wrapf(err, "decode the head row")
	}
	return h, nil
}

// Revisions returns the committed revisions after number, in order, at most 64.
func (s *Store) Revisions(ctx context.Context, number uint64) ([]*settings.Revision, error) {
	rows, err := s.table.Scan(ctx, revisionPrefix, revisionKey(number), maxRevisionsPerRead)
	if err != nil {
		return nil, err
	}
	revisions := make([]*settings.Revision, 0, len(rows))
	for _, row := range rows {
		revision := new(settings.Revision)
		if err := cbor.Unmarshal(row.Value, revision); err != nil {
			return nil, oops.In("settingstore").With("key", row.Key).Wrapf(err, "decode a revision")
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}

// CatchUp returns the newest committed snapshot and the revisions between have and that snapshot.
// The revisions are nil if an image was used.
func (s *Store) CatchUp(ctx context.Context, have *settings.Snapshot) (*settings.Snapshot, []*settings.Revision, error) {
	newest, err := s.Head(ctx)
	if err != nil {
		return nil, nil, err
	}
	start := have
	if newest > have.Revision+imageInterval {
		if have, err = s.fromImage(ctx, have); err != nil {
			return nil, nil, err
		}
	}
	var all []*settings.Revision
	for have.Revision < newest {
		next, revisions, err := s.applyNext(ctx, have)
		if err != nil {
			return nil, nil, err
		}
		have = next
		all = append(all, revisions...)
	}
	if uint64(len(all)) != have.Revision-start.Revision {
		all = nil
	}
	return have, all, nil
}

func (s *Store) applyNext(ctx context.Context, have *settings.Snapshot) (*settings.Snapshot, []*settings.Revision, error) {
	revisions, err := s.Revisions(ctx, have.Revision)
	if err != nil {
		return nil, nil, err
	}
	if len(revisions) == 0 {
		return nil, nil, oops.In("settingstore").Errorf("revision %d is missing", have.Revision+1)
	}
	for _, revision := range revisions {
		if have, err = have.Apply(revision); err != nil {
			return nil, nil, oops.In("settingstore").Wrapf(err, "apply revision %d", revision.Number)
		}
	}
	return have, revisions, nil
}

// fromImage returns the snapshot of the newest stored image if it is newer than have, and have otherwise.
func (s *Store) fromImage(ctx context.Context, have *settings.Snapshot) (*settings.Snapshot, error) {
	rows, err := s.table.Get(ctx, imageKey)
	if err != nil {
		return nil, err
	}
	imageHead, err := decodeHead(rows[0])
	if err != nil || imageHead.Number <= have.Revision {
		return have, err
	}
	reader, err := s.objects.Get(ctx, imageName(imageHead.Number), 0, -1)
	if err != nil {
		return nil, err
	}
	defer func() { _ = reader.Close() }()
	content, err := io.ReadAll(reader)
	if err != nil {
		return nil, oops.In("settingstore").Wrapf(err, "read image %d", imageHead.Number)
	}
	var image settings.Image
	if err := cbor.Unmarshal(content, &image); err != nil {
		return nil, oops.In("settingstore").Wrapf(err, "decode image %d", imageHead.Number)
	}
	return settings.FromImage(image)
}

// Commit plans change on the newest revision and commits it. It returns the snapshot that includes the
// change; for a change without effect, this is the current snapshot.
//
// It fails with *settings.ForbiddenError, *settings.StaleError or *settings.ValidationError if the
// change was rejected, with platform.ErrUnavailable if it was not committed, and with
// platform.ErrOutcomeUnknown if ctx ended before the outcome was known. A retry with the same
// operation does not commit the change twice.
func (s *Store) Commit(ctx context.Context, have *settings.Snapshot, change settings.Change) (*settings.Snapshot, error) {
	for range maxCommitAttempts {
		current, _, err := s.CatchUp(ctx, have)
		if err != nil {
			return nil, asUnavailable(err)
		}
		if done, err := s.alreadyCommitted(ctx, current, change); done || err != nil {
			return current, err
		}
		revision, err := current.Plan(change, s.now().UTC())
		if err != nil || revision == nil {
			return current, err
		}
		next, err := s.commitRevision(ctx, current, revision)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			have = current
			continue
		}
		return next, err
	}
	return nil, platform.ErrUnavailable
}

// alreadyCommitted reports whether one of the newest revisions has the change's operation. This happens when the
// operator retries a change after a lost response.
func (s *Store) alreadyCommitted(ctx context.Context, current *settings.Snapshot, change settings.Change) (bool, error) {
	after := current.Revision - min(current.Revision, maxRevisionsPerRead)
	revisions, err := s.Revisions(ctx, after)
	if err != nil {
		return false, asUnavailable(err)
	}
	for _, revision := range revisions {
		if revision.Operation == change.Operation {
			return true, nil
		}
	}
	return false, nil
}

// asUnavailable returns ErrUnavailable for a read that failed with ErrOutcomeUnknown, so that the caller does not take it
// for a write of unknown outcome.
func asUnavailable(err error) error {
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return platform.ErrUnavailable
	}
	return err
}

func (s *Store) commitRevision(ctx context.Context, current *settings.Snapshot, revision *settings.Revision) (*settings.Snapshot, error) {
	next, err := current.Apply(revision)
	if err != nil {
		return nil, err
	}
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return nil, asUnavailable(err)
	}
	present, err := decodeHead(rows[0])
	if err != nil {
		return nil, err
	}
	if present.Number != current.Revision {
		return nil, &platform.ConflictError{Rows: rows}
	}
	txn, err := revisionTxn(rows[0].Version, revision)
	if err != nil {
		return nil, err
	}
	// A revision's row is never overwritten, so it always shows which operation committed the revision.
	applied := func(rows []platform.Row) bool { return isStored(rows, revision) }
	if err := platform.CommitWithRetry(ctx, s.table, txn, applied); err != nil {
		return nil, err
	}
	if next.Revision%imageInterval == 0 {
		// If the image cannot be stored, VMs that start read more revisions; nothing else depends on it.
		_ = s.storeImage(ctx, next)
	}
	return next, nil
}

func revisionTxn(headVersion uint64, revision *settings.Revision) (platform.Txn, error) {
	key := revisionKey(revision.Number)
	headValue, err := cbor.Marshal(head{Number: revision.Number, Operation: revision.Operation})
	if err != nil {
		return platform.Txn{}, oops.In("settingstore").Wrapf(err, "encode the head row")
	}
	revisionValue, err := cbor.Marshal(revision)
	if err != nil {
		return platform.Txn{}, oops.In("settingstore").Wrapf(err, "encode a revision")
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: headKey, Version: headVersion}, {Key: key}},
		Writes:     []platform.Write{{Key: headKey, Value: headValue}, {Key: key, Value: revisionValue}},
	}, nil
}

// isStored reports whether rows contain the revision, committed by the same operation.
func isStored(rows []platform.Row, revision *settings.Revision) bool {
	for _, row := range rows {
		if row.Key != revisionKey(revision.Number) || row.Version == 0 {
			continue
		}
		var stored settings.Revision
		return cbor.Unmarshal(row.Value, &stored) == nil && stored.Operation == revision.Operation
	}
	return false
}

func (s *Store) storeImage(ctx context.Context, snapshot *settings.Snapshot) error {
	content, err := encodeImage(snapshot.Image())
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, imageName(snapshot.Revision), content); err != nil {
		return err
	}
	value, err := cbor.Marshal(head{Number: snapshot.Revision})
	if err != nil {
		return err
	}
	_, err = s.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: imageKey, Value: value}}})
	return err
}

func encodeImage(image settings.Image) ([]byte, error) {
	// Canonical encoding encodes equal images to equal bytes, so that storing an image twice succeeds.
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(image)
}

// History returns at most limit revisions that changed subtree, newest first.
func (s *Store) History(ctx context.Context, subtree string, limit int) ([]*settings.Revision, error) {
	newest, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var history []*settings.Revision
	for newest > 0 && len(history) < limit {
		after := newest - min(newest, maxRevisionsPerRead)
		revisions, err := s.Revisions(ctx, after)
		if err != nil {
			return nil, err
		}
		history = appendHistory(history, revisions, subtree, newest)
		newest = after
	}
	return history[:min(limit, len(history))], nil
}

func appendHistory(history, revisions []*settings.Revision, subtree string, newest uint64) []*settings.Revision {
	for i := len(revisions) - 1; i >= 0; i-- {
		if revisions[i].Number <= newest && changesSubtree(revisions[i], subtree) {
			history = append(history, revisions[i])
		}
	}
	return history
}

func changesSubtree(revision *settings.Revision, subtree string) bool {
	for _, edit := range revision.Edits {
		if settings.Within(edit.Path, subtree) {
			return true
		}
	}
	return false
}

func revisionKey(number uint64) string { return fmt.Sprintf("%s%016d", revisionPrefix, number) }
func imageName(number uint64) string   { return fmt.Sprintf("%s%016d", imagePrefix, number) }
