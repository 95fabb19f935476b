// Package follow keeps a copy of one table of the platform's store up to date.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// feedWait is how long the store may hold a call without changes. It bounds the age of what is known
	// and the time until a silent connection is noticed.
	feedWait = time.Second
	// readTimeout bounds the reading of one page.
	readTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// pageSize is the number of rows read at once.
	pageSize = 500
)

// Config configures a Follower.
type Config struct {
	Rows  platform.Rows
	Table string
	// Replace takes the whole table.
	Replace func(rows []platform.TableRow)
	// Change takes changed and deleted rows, in order.
	Change func(rows []platform.TableRow)
	// OnUnavailable and OnAvailable are called when the store stops answering and answers again. Optional.
	OnUnavailable, OnAvailable func()
	// CoalesceDelay is the time between two calls while the table changes, in which changes gather. Hurry ends it.
	CoalesceDelay time.Duration
	Log           zerolog.Logger
}

// Follower follows one table.
type Follower struct {
	config Config
	// confirmed is the monotonic time, since start, of the last moment for which the copy is known to be complete.
	confirmed atomic.Int64
	started   time.Time
	clock     atomic.Pointer[Clock]
	reachable bool
	version   uint64
	hurry     chan struct{}
}

// New returns a follower.
func New(config Config) *Follower {
	f := &Follower{config: config, started: time.Now(), reachable: true, hurry: make(chan struct{}, 1)}
	f.confirmed.Store(-1)
	return f
}

// Age returns how old the copy may be, and whether there is one.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at < 0 {
		return 0, false
	}
	return time.Since(f.started) - time.Duration(at), true
}

// Clock relates the store's steady clock to the local one.
type Clock struct {
	Store time.Duration
	Local time.Time
}

// At returns the store's time at a local time.
func (c Clock) At(local time.Time) time.Duration { return c.Store + local.Sub(c.Local) }

// LocalTime returns the local time at a time of the store.
func (c Clock) LocalTime(store time.Duration) time.Time { return c.Local.Add(store - c.Store) }

// Clock returns the store's clock as of the last answer, and whether there was one.
func (f *Follower) Clock() (Clock, bool) {
	c := f.clock.Load()
	if c == nil {
		return Clock{}, false
	}
	return *c, true
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	whole := false
	backoff := minBackoff
	for ctx.Err() == nil {
		// An answer shows the table as it was after the call began, and one without changes as it was when
		// the store stopped waiting for them.
		known := time.Now()
		var err error
		if !whole {
			err = f.readAll(ctx)
			whole = err == nil
		} else if known, err = f.follow(ctx); errors.Is(err, platform.ErrHistoryLost) {
			f.config.Log.Info().Str("table", f.config.Table).Uint64("version", f.version).Msg("history is lost, the table is read again")
			whole = false
			continue
		}
		if err != nil {
			f.lost(ctx, err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.confirmed.Store(int64(known.Sub(f.started)))
		f.returned()
	}
}

func (f *Follower) lost(ctx context.Context, err error) {
	if !f.reachable || ctx.Err() != nil {
		return
	}
	f.reachable = false
	f.config.Log.Warn().Err(err).Str("table", f.config.Table).Msg("dependency lost: the store does not answer")
	if f.config.OnUnavailable != nil {
		f.config.OnUnavailable()
	}
}

func (f *Follower) returned() {
	if f.reachable {
		return
	}
	f.reachable = true
	f.config.Log.Info().Str("table", f.config.Table).Uint64("version", f.version).Msg("dependency back: the store answers")
	if f.config.OnAvailable != nil {
		f.config.OnAvailable()
	}
}

// readAll reads the whole table. Its pages may be of different moments, so changes are followed from the first.
func (f *Follower) readAll(ctx context.Context) error {
	var rows []platform.TableRow
	var from string
	var version uint64
	for first := true; ; first = false {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.config.Rows.Read(call, f.config.Table, "", platform.KeyRange{From: from, Limit: pageSize})
		cancel()
		if err != nil {
			return err
		}
		f.clock.Store(&Clock{Store: page.Now, Local: time.Now()})
		if first {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	// What is known of an outage has to be known before the rows that are missing after it.
	f.returned()
	f.version = version
	f.config.Replace(rows)
	return nil
}

// follow waits for changes, and returns the moment for which the copy is known to be complete.
func (f *Follower) follow(ctx context.Context) (time.Time, error) {
	began := time.Now()
	page, err := f.config.Rows.Follow(ctx, f.config.Table, f.version, feedWait)
	if err != nil {
		return began, err
	}
	f.clock.Store(&Clock{Store: page.Now, Local: time.Now()})
	f.returned()
	f.version = max(f.version, page.Version)
	if len(page.Rows) == 0 {
		return began.Add(feedWait), nil
	}
	f.config.Change(page.Rows)
	f.gather(ctx)
	return began, nil
}

// PollNow ends the pause in which changes gather, for a caller that waits for one which has happened.
func (f *Follower) PollNow() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

func (f *Follower) gather(ctx context.Context) {
	if f.config.CoalesceDelay <= 0 {
		return
	}
	timer := time.NewTimer(f.config.CoalesceDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.hurry:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
