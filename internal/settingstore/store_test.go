package settingstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// naiveRuns is the number of generated runs within which a naive version must violate an invariant.
const naiveRuns = 300

// propertyRuns is the number of generated runs of each property test.
const propertyRuns = 300

// commitTimeout is long enough for about three retries after lost responses.
const commitTimeout = 3 * time.Second / 20

func TestMain(m *testing.M) { rapidtest.Main(m, propertyRuns) }

// step is one action of a generated run.
type step struct {
	// Team makes the change. If Rival is not negative, that team commits a change concurrently.
	Team, Rival int
	// Document is the content of the changed document.
	Document int
	// Guarded changes are based on the subtree's revision that the operator read.
	Guarded bool
	// Resend repeats the previous change, as after a lost response.
	Resend bool
	Faults []faulty.Fault
	Flush  bool
}

func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Team:     rapid.IntRange(0, 1).Draw(t, "team"),
			Rival:    rapid.IntRange(-2, 1).Draw(t, "race"),
			Document: rapid.IntRange(1, 3).Draw(t, "document"),
			Guarded:  rapid.Bool().Draw(t, "guarded"),
			Resend:   rapid.IntRange(0, 4).Draw(t, "resend") == 0,
			Faults:   rapid.SliceOfN(rapid.SampledFrom([]faulty.Fault{faulty.None, faulty.Unavailable, faulty.ResponseLost, faulty.RequestLost, faulty.Delayed}), 0, 3).Draw(t, "faults"),
			Flush:    rapid.Bool().Draw(t, "flush"),
		}
	})
	return rapid.SliceOfN(one, 1, 12)
}

// committer commits a change: the version under test or a naive one.
type committer func(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change) error

// raceTable runs a function before the next commit reaches the table.
type raceTable struct {
	platform.Table
	before func()
}

func (r *raceTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if before := r.before; before != nil {
		r.before = nil
		before()
	}
	return r.Table.Commit(ctx, txn)
}

// outcome is the response that the operator got for an operation.
type outcome uint8

const (
	accepted outcome = iota + 1
	rejected
	unknown
)

type run struct {
	ctx      context.Context
	inner    *memory.Platform
	faulty   *faulty.Table
	table    *raceTable
	commit   committer
	outcomes map[string]outcome
	last     *settings.Change
	seen     []*settings.Snapshot
}

// play runs the steps against commit and returns the first violated invariant.
func play(commit committer, all []step) error {
	inner := memory.New()
	f := faulty.New(inner)
	r := &run{
		ctx: context.Background(), inner: inner, faulty: f, table: &raceTable{Table: f},
		commit: commit, outcomes: map[string]outcome{}, seen: []*settings.Snapshot{settings.Empty()},
	}
	for i, s := range all {
		r.step(i, s)
		if err := r.observe(); err != nil {
			return err
		}
	}
	r.faulty.Flush(r.ctx)
	if err := r.observe(); err != nil {
		return err
	}
	return r.check()
}

func (r *run) step(i int, s step) {
	change := r.change(fmt.Sprintf("op-%d", i), s.Team, s)
	if s.Resend && r.last != nil {
		change = *r.last
	}
	if s.Rival >= 0 {
		rival := r.change(fmt.Sprintf("op-%d-rival", i), s.Rival, s)
		r.table.before = func() { r.submit(rival) }
	}
	r.faulty.Inject(s.Faults...)
	r.submit(change)
	r.last = &change
	if s.Flush {
		r.faulty.Flush(r.ctx)
	}
}

func (r *run) change(operation string, team int, s step) settings.Change {
	path := fmt.Sprintf("teams/t%d", team)
	change := settings.Change{
		Operation: operation, Author: path, Allowed: path, Subtree: path,
		Documents: map[string]string{
			path + "/services/s" + fmt.Sprint(team): fmt.Sprintf("timeout: %ds\n", s.Document),
		},
	}
	if s.Guarded {
		base := r.seen[len(r.seen)-1].RevisionOf(path)
		change.Base = &base
	}
	return change
}

func (r *run) submit(change settings.Change) {
	ctx, cancel := context.WithTimeout(r.ctx, commitTimeout)
	defer cancel()
	err := r.commit(ctx, r.table, r.seen[len(r.seen)-1], change)
	was := r.outcomes[change.Operation]
	switch {
	case err == nil:
		r.outcomes[change.Operation] = accepted
	case was == accepted || was == unknown:
		// The earlier response stays valid: the failure of a retry does not undo the change.
	case errors.Is(err, platform.ErrOutcomeUnknown):
		r.outcomes[change.Operation] = unknown
	default:
		r.outcomes[change.Operation] = rejected
	}
}

// observe reads the newest revision as a VM does.
func (r *run) observe() error {
	last := r.seen[len(r.seen)-1]
	next, _, err := New(r.inner, r.inner.Objects()).CatchUp(r.ctx, last)
	if err != nil {
		return fmt.Errorf("a VM cannot read the newest revision: %w", err)
	}
	if next.Revision < last.Revision {
		return fmt.Errorf("revision decreased from %d to %d", last.Revision, next.Revision)
	}
	r.seen = append(r.seen, next)
	return nil
}

// check compares the history with the responses to the operators.
func (r *run) check() error {
	revisions, err := New(r.inner, r.inner.Objects()).Revisions(r.ctx, 0)
	if err != nil {
		return err
	}
	committed := map[string]int{}
	replayed := settings.Empty()
	for _, revision := range revisions {
		committed[revision.Operation]++
		if replayed, err = replayed.Apply(revision); err != nil {
			return fmt.Errorf("apply the history: %w", err)
		}
	}
	for operation, times := range committed {
		if times > 1 {
			return fmt.Errorf("%s was committed %d times", operation, times)
		}
		if r.outcomes[operation] == rejected {
			return fmt.Errorf("%s was committed, but reported to its operator as rejected", operation)
		}
	}
	for _, seen := range r.seen {
		if seen.Revision > replayed.Revision {
			return fmt.Errorf("revision %d was read by a VM and is not in the history", seen.Revision)
		}
	}
	newest := r.seen[len(r.seen)-1]
	for path, document := range replayed.Documents {
		if newest.Documents[path] != document {
			return fmt.Errorf("a VM has %q at %s, the history has %q", newest.Documents[path], path, document)
		}
	}
	return nil
}

// commitWithStore commits with the Store under test.
func commitWithStore(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change) error {
	_, err := New(table, memory.New().Objects()).Commit(ctx, have, change)
	return err
}

// naiveRejects treats a lost response as a rejection.
func naiveRejects(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change) error {
	return naive(ctx, table, have, change, func(err error) bool { return false })
}

// naiveRetries plans and commits the change again after a lost response, without checking whether it was committed.
func naiveRetries(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change) error {
	return naive(ctx, table, have, change, func(err error) bool { return errors.Is(err, platform.ErrOutcomeUnknown) })
}

func naive(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change, retry func(error) bool) error {
	store := New(table, memory.New().Objects())
	for {
		current, _, err := store.CatchUp(ctx, have)
		if err != nil {
			return err
		}
		revision, err := current.Plan(change, time.Time{})
		if err != nil || revision == nil {
			return err
		}
		rows, err := table.Get(ctx, headKey)
		if err != nil {
			return err
		}
		txn, err := revisionTxn(rows[0].Version, revision)
		if err != nil {
			return err
		}
		if _, err = table.Commit(ctx, txn); err == nil {
			return nil
		}
		if !retry(err) {
			return platform.ErrUnavailable
		}
	}
}

// naiveUnconditional writes without conditions.
func naiveUnconditional(ctx context.Context, table platform.Table, have *settings.Snapshot, change settings.Change) error {
	current, _, err := New(table, memory.New().Objects()).CatchUp(ctx, have)
	if err != nil {
		return err
	}
	revision, err := current.Plan(change, time.Time{})
	if err != nil || revision == nil {
		return err
	}
	txn, err := revisionTxn(0, revision)
	if err != nil {
		return err
	}
	txn.Conditions = nil
	_, err = table.Commit(ctx, txn)
	return err
}

func TestChangesAreCommittedOnceAndNeverLost(t *testing.T) {
	t.Run("commits are correct under faults, races and retries", func(t *testing.T) {
		generator := steps()
		rapid.Check(t, func(rt *rapid.T) {
			all := generator.Draw(rt, "steps")
			if err := playWithVirtualClock(t, commitWithStore, all); err != nil {
				rt.Fatal(err)
			}
		})
	})
	for name, commit := range map[string]committer{
		"the test detects a lost response treated as a rejection": naiveRejects,
		"the test detects writes without conditions":              naiveUnconditional,
		"the test detects a change that is planned again blindly": naiveRetries,
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, violatesInvariants(t, commit), qt.IsTrue, qt.Commentf("the naive version passed %d runs", naiveRuns))
		})
	}
}

// playWithVirtualClock calls play with a virtual clock.
func playWithVirtualClock(t *testing.T, commit committer, all []step) (err error) {
	synctest.Test(t, func(*testing.T) { err = play(commit, all) })
	return err
}

// violatesInvariants reports whether one of naiveRuns generated runs violates an invariant.
func violatesInvariants(t *testing.T, commit committer) bool {
	generator := steps()
	for seed := range naiveRuns {
		if playWithVirtualClock(t, commit, generator.Example(seed)) != nil {
			return true
		}
	}
	return false
}

func TestHistoryAndImages(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := memory.New()
	store := New(p, p.Objects())
	current := settings.Empty()
	const revisions = 3*imageInterval + 5
	for i := range revisions {
		var err error
		current, err = store.Commit(ctx, current, settings.Change{
			Operation: fmt.Sprint(i), Subtree: "teams/a",
			Documents: map[string]string{"teams/a/services/s": fmt.Sprintf("timeout: %ds\n", i+1)},
		})
		c.Assert(err, qt.IsNil)
	}
	fresh, applied, err := store.CatchUp(ctx, settings.Empty())
	c.Assert(err, qt.IsNil)
	c.Assert(fresh.Revision, qt.Equals, uint64(revisions))
	c.Assert(applied, qt.IsNil, qt.Commentf("a VM that starts must use the image"))
	c.Assert(fresh.Documents, qt.DeepEquals, current.Documents)
	history, err := store.History(ctx, "teams/a", 70)
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, 70)
	c.Assert(history[0].Number, qt.Equals, uint64(revisions))
	c.Assert(history[69].Number, qt.Equals, uint64(revisions-69))
}
