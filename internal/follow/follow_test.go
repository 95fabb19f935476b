package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/follow"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

// flaky is a store with injected outages.
type flaky struct {
	platform.Rows
	down atomic.Bool
	// follows counts the calls of Follow.
	follows atomic.Int64
}

func (f *flaky) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	if f.down.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return f.Rows.Read(ctx, table, part, keys)
}

func (f *flaky) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	f.follows.Add(1)
	page, err := f.Rows.Follow(ctx, table, after, wait)
	if f.down.Load() {
		return platform.Page{}, errors.Join(platform.ErrUnavailable, err)
	}
	return page, err
}

// replica is the copy of a table that a follower maintains.
type replica struct {
	mu                     sync.Mutex
	rows                   map[string]string
	unavailable, available int
}

func (r *replica) replace(rows []platform.TableRow) {
	r.mu.Lock()
	r.rows = map[string]string{}
	r.mu.Unlock()
	r.change(rows)
}

func (r *replica) change(rows []platform.TableRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(r.rows, row.Key)
		} else {
			r.rows[row.Key] = string(row.Value)
		}
	}
}

func (r *replica) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

func put(t *testing.T, rows platform.Rows, key, value string) {
	t.Helper()
	_, err := rows.Apply(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: platform.RowKey{Table: "t", Key: key}, Value: []byte(value)}}})
	qt.Assert(t, err, qt.IsNil)
}

func TestCopyCatchesUpAfterOutageAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := memory.New()
		store := &flaky{Rows: state}
		for i := range 1200 {
			put(t, state, fmt.Sprintf("%04d", i), "old")
		}
		copied := &replica{}
		f := follow.New(follow.Config{
			Rows: store, Table: "t", Replace: copied.replace, Change: copied.change, Log: zerolog.Nop(),
			OnUnavailable: func() { copied.unavailable++ }, OnAvailable: func() { copied.available++ },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("1199"), qt.Equals, "old")

		put(t, state, "0001", "new")
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("0001"), qt.Equals, "new")

		store.down.Store(true)
		put(t, state, "0002", "new")
		time.Sleep(5 * time.Second)
		age, known := f.Age()
		qt.Assert(t, known && age > 4*time.Second, qt.IsTrue, qt.Commentf("age %s", age))
		qt.Assert(t, copied.get("0002"), qt.Equals, "old")
		state.DiscardHistory()
		store.down.Store(false)
		time.Sleep(time.Second)
		qt.Assert(t, copied.get("0002"), qt.Equals, "new")
		qt.Assert(t, [2]int{copied.unavailable, copied.available}, qt.Equals, [2]int{1, 1})
		time.Sleep(5 * time.Second)
		age, _ = f.Age()
		// The last answer confirms the copy as of the time at which its call began, one long poll before.
		qt.Assert(t, age > 0 && age <= 2100*time.Millisecond, qt.IsTrue, qt.Commentf("age %s", age))
	})
}

// stepStore answers each call when the test says so.
type stepStore struct {
	platform.Rows
	answers chan platform.Page
}

func (s stepStore) Follow(context.Context, string, uint64, time.Duration) (platform.Page, error) {
	return <-s.answers, nil
}

// Answers without changes made the copy look up to a long poll more recent than they prove: when the store answered early, and
// when the VM was suspended during the call.
func TestAnswerConfirmsTheCopyAsOfTheTimeOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		copied := &replica{}
		var confirmed []time.Duration
		store := stepStore{Rows: memory.New(), answers: make(chan platform.Page)}
		f := follow.New(follow.Config{
			Rows: store, Table: "t", Replace: copied.replace, Change: copied.change, Log: zerolog.Nop(), Clock: clock,
			OnConfirmed: func(at time.Duration) { confirmed = append(confirmed, at) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		answer := func(page platform.Page) {
			time.Sleep(100 * time.Millisecond)
			store.answers <- page
			synctest.Wait()
		}
		answer(platform.Page{})
		suspended.Store(int64(4 * time.Second))
		answer(platform.Page{})
		answer(platform.Page{More: true, Rows: []platform.TableRow{{}}})
		answer(platform.Page{Delay: 60 * time.Millisecond})
		ms := time.Millisecond
		qt.Assert(t, confirmed, qt.DeepEquals, []time.Duration{0, 0, 100 * ms, 4360 * ms})
		age, known := f.Age()
		qt.Assert(t, known && age == 40*ms, qt.IsTrue, qt.Commentf("age %s", age))
		cancel()
		answer(platform.Page{})
	})
}

func TestChangesAreCoalescedUntilPollNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 250 * time.Millisecond
		state := memory.New()
		store := &flaky{Rows: state}
		copied := &replica{}
		f := follow.New(follow.Config{Rows: store, Table: "t", CoalesceDelay: pause, Replace: copied.replace, Change: copied.change, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		before := store.follows.Load()
		for i := range 100 {
			put(t, state, "key", fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		// One call per pause, and one that was waiting when the changes began.
		calls := store.follows.Load() - before
		qt.Assert(t, calls <= int64(time.Second/pause)+1, qt.IsTrue, qt.Commentf("%d calls", calls))
		time.Sleep(pause)
		qt.Assert(t, copied.get("key"), qt.Equals, "99")

		put(t, state, "key", "first")
		time.Sleep(10 * time.Millisecond)
		put(t, state, "key", "second")
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("key"), qt.Equals, "first")
		f.PollNow()
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("key"), qt.Equals, "second")
	})
}

func TestChangesAreReadLessOftenWhileNobodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, idle = 250 * time.Millisecond, 600 * time.Millisecond
		state := memory.New()
		store := &flaky{Rows: state}
		copied := &replica{}
		var awaited atomic.Bool
		f := follow.New(follow.Config{
			Rows: store, Table: "t", CoalesceDelay: pause, IdleDelay: idle, Awaited: awaited.Load,
			Replace: copied.replace, Change: copied.change, Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		calls := func() int64 {
			before := store.follows.Load()
			for i := range 300 {
				put(t, state, "key", fmt.Sprint(i))
				time.Sleep(10 * time.Millisecond)
			}
			return store.follows.Load() - before
		}
		qt.Assert(t, calls() <= 3000/600+2, qt.IsTrue)
		awaited.Store(true)
		n := calls()
		qt.Assert(t, n >= 3000/250-2 && n <= 3000/250+2, qt.IsTrue, qt.Commentf("%d calls", n))

		awaited.Store(false)
		time.Sleep(2 * time.Second)
		put(t, state, "key", "first")
		time.Sleep(300 * time.Millisecond)
		put(t, state, "key", "second")
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("key"), qt.Equals, "first")
		awaited.Store(true)
		f.Hurry()
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, copied.get("key"), qt.Equals, "second")
	})
}
