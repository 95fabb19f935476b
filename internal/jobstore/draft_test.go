package jobstore

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// manyChunks is the number of chunks of the largest job.
const manyChunks = job.MaxItems/512 + 1

// newRemoteStore returns a store over HTTP, which takes 100 entries in a transaction.
func newRemoteStore(t *testing.T) *Store {
	server := httptest.NewServer(platformserver.New(platformserver.Config{}))
	t.Cleanup(server.Close)
	remote := client.New(server.URL, 10*time.Second)
	return New(remote.Table(), remote.Objects())
}

func specOf(chunks int) Spec {
	spec := Spec{Client: "a", IdempotencyKey: "k", RequestDigest: "d", InputFile: "file-1", Items: job.MaxItems}
	for number := range chunks {
		spec.Chunks = append(spec.Chunks, &job.Chunk{Number: number, Items: 512, Model: "m"})
	}
	return spec
}

func (s *Store) openChunks(t *testing.T) []*Work {
	work, err := s.OpenWork(t.Context(), "", 10_000)
	qt.Assert(t, err, qt.IsNil)
	return work
}

// brokenTable loses the connection to the table after some commits.
type brokenTable struct {
	platform.Table
	commits int
}

func (b *brokenTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if b.commits--; b.commits < 0 {
		return 0, errors.New("the process is gone")
	}
	return b.Table.Commit(ctx, txn)
}

// Jobs of more than 96 chunks were refused by the store, as too many entries for a transaction.
func TestJobOfManyChunksIsCreated(t *testing.T) {
	for _, chunks := range []int{1, maxTxnChunks, maxTxnChunks + 1, 2 * maxTxnChunks, manyChunks} {
		store := newRemoteStore(t)
		first, err := store.Create(t.Context(), specOf(chunks))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, store.openChunks(t), qt.HasLen, chunks)
		again, err := store.Create(t.Context(), specOf(chunks))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Job.ID, qt.Equals, first.Job.ID)
		qt.Assert(t, store.openChunks(t), qt.HasLen, chunks, qt.Commentf("the chunks of the second attempt are left"))
		rows, err := store.table.Scan(t.Context(), draftPrefix, "", 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rows, qt.HasLen, 0)
	}
}

func TestCreationThatStopsMidway(t *testing.T) {
	for _, commits := range []int{0, 1, manyChunks / maxTxnChunks} {
		store := newRemoteStore(t)
		intact := store.table
		store.table = &brokenTable{Table: intact, commits: commits}
		_, err := store.Create(t.Context(), specOf(manyChunks))
		qt.Assert(t, err, qt.IsNotNil)
		store.table = intact
		work := store.openChunks(t)
		qt.Assert(t, work, qt.HasLen, commits*maxTxnChunks)
		_, err = store.FindByIdempotencyKey(t.Context(), "a", "k", "d")
		qt.Assert(t, errors.Is(err, ErrNotFound), qt.IsTrue)
		for _, w := range work[:min(1, len(work))] {
			qt.Assert(t, store.RemoveAbandoned(t.Context(), w), qt.IsNil)
		}
		qt.Assert(t, store.openChunks(t), qt.HasLen, commits*maxTxnChunks, qt.Commentf("a job that may still be created lost a chunk"))
		store.now = func() time.Time { return time.Now().Add(draftRetention + time.Minute) }
		for _, w := range work {
			qt.Assert(t, store.RemoveAbandoned(t.Context(), w), qt.IsNil)
		}
		qt.Assert(t, store.openChunks(t), qt.HasLen, 0)
	}
}

func TestRemovedDraftIsNotCompleted(t *testing.T) {
	store := newRemoteStore(t)
	spec := specOf(manyChunks)
	j := &job.Job{ID: jobIDPrefix + store.newID(), Client: "a", CreatedAt: store.now(), Chunks: manyChunks}
	d, err := store.writeDraft(t.Context(), j, spec.Chunks)
	qt.Assert(t, err, qt.IsNil)
	later := *store
	later.now = func() time.Time { return time.Now().Add(draftRetention + time.Minute) }
	qt.Assert(t, later.RemoveAbandoned(t.Context(), store.openChunks(t)[0]), qt.IsNil)
	_, err = store.table.Commit(t.Context(), d.complete(createTxn(j, d.left, spec, idempotencyRowKey("a", "k"))))
	var conflict *platform.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
}

func TestChunkOfAnExistingJobIsNotRemoved(t *testing.T) {
	store := newRemoteStore(t)
	_, err := store.Create(t.Context(), specOf(manyChunks))
	qt.Assert(t, err, qt.IsNil)
	store.now = func() time.Time { return time.Now().Add(draftRetention + time.Minute) }
	qt.Assert(t, errors.Is(store.RemoveAbandoned(t.Context(), store.openChunks(t)[0]), ErrFenced), qt.IsTrue)
	qt.Assert(t, store.openChunks(t), qt.HasLen, manyChunks)
}
