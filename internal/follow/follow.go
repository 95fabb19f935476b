// Package follow maintains a local copy of one table of the platform's store.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/boottime"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// longPollTimeout is how long the store may hold a call without changes. It bounds the age of the copy and the
	// time until a dead connection is detected.
	longPollTimeout = time.Second
	// readTimeout bounds the read of one page.
	readTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// pageSize is the number of rows in a page.
	pageSize = 500
)

// Config configures a Follower.
type Config struct {
	Rows  platform.Rows
	Table string
	// Replace is called with all rows of the table after each full read.
	Replace func(rows []platform.TableRow)
	// Change is called with changed and deleted rows, in order.
	Change func(rows []platform.TableRow)
	// OnUnavailable and OnAvailable are called when the store stops responding and responds again. Optional.
	OnUnavailable, OnAvailable func()
	// CoalesceDelay is the pause after a call that returned changes, so that further changes are read together.
	// PollNow ends it early.
	CoalesceDelay time.Duration
	// IdleDelay replaces CoalesceDelay, if it is longer, while Awaited reports that nobody waits for a change. Hurry ends the
	// difference between the two early.
	IdleDelay time.Duration
	Awaited   func() bool
	// Clock is the clock of the copy's age. Default: the monotonic clock.
	Clock boottime.Clock
	// PollInterval is how long the store may hold a call without changes. Default longPollTimeout.
	PollInterval time.Duration
	// OnConfirmed is called after Replace or Change with the time of Clock to which the copy is complete. Optional.
	OnConfirmed func(at time.Duration)
	Log         zerolog.Logger
}

// Follower maintains a copy of one table.
type Follower struct {
	config Config
	// confirmedAt is the last time of Config.Clock at which the copy is known to be complete, nil before the first full read.
	confirmedAt    atomic.Pointer[time.Duration]
	clock          atomic.Pointer[Clock]
	storeAvailable bool
	version        uint64
	pollNow        chan struct{}
	hurry          chan struct{}
}

// New returns a follower without a copy.
func New(config Config) *Follower {
	if config.Clock == nil {
		config.Clock = boottime.Monotonic()
	}
	if config.PollInterval <= 0 {
		config.PollInterval = longPollTimeout
	}
	return &Follower{config: config, storeAvailable: true, pollNow: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
}

// Age returns an upper bound of the copy's staleness, and whether there is a copy.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return f.config.Clock() - *at, true
}

// confirm records that the copy is complete as of a time.
func (f *Follower) confirm(at time.Duration) {
	f.confirmedAt.Store(&at)
	if f.config.OnConfirmed != nil {
		f.config.OnConfirmed(at)
	}
}

// Clock relates the store's monotonic clock to the local clock.
type Clock struct {
	Store time.Duration
	Local time.Time
}

// At converts a local time to the store's time.
func (c Clock) At(local time.Time) time.Duration { return c.Store + local.Sub(c.Local) }

// LocalTime converts a time of the store to the local time.
func (c Clock) LocalTime(store time.Duration) time.Time { return c.Local.Add(store - c.Store) }

// Clock returns the store's clock as of its last response, and whether there was one.
func (f *Follower) Clock() (Clock, bool) {
	c := f.clock.Load()
	if c == nil {
		return Clock{}, false
	}
	return *c, true
}

// Run maintains the copy until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	loaded := false
	backoff := minBackoff
	for ctx.Err() == nil {
		var err error
		if !loaded {
			err = f.readAll(ctx)
			loaded = err == nil
		} else if err = f.follow(ctx); errors.Is(err, platform.ErrHistoryLost) {
			f.config.Log.Info().Str("table", f.config.Table).Uint64("version", f.version).Msg("change history lost, reading the whole table again")
			loaded = false
			continue
		}
		if err != nil {
			f.markUnavailable(ctx, err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.markAvailable()
	}
}

func (f *Follower) markUnavailable(ctx context.Context, err error) {
	if !f.storeAvailable || ctx.Err() != nil {
		return
	}
	f.storeAvailable = false
	f.config.Log.Warn().Err(err).Str("table", f.config.Table).Msg("store unavailable, local copy of the table becomes stale")
	if f.config.OnUnavailable != nil {
		f.config.OnUnavailable()
	}
}

func (f *Follower) markAvailable() {
	if f.storeAvailable {
		return
	}
	f.storeAvailable = true
	f.config.Log.Info().Str("table", f.config.Table).Uint64("version", f.version).Msg("store available again")
	if f.config.OnAvailable != nil {
		f.config.OnAvailable()
	}
}

// readAll reads the whole table. Its pages may be from different points in time, so changes are read from the version of
// the first page on.
func (f *Follower) readAll(ctx context.Context) error {
	var rows []platform.TableRow
	var from string
	var version uint64
	asOf := f.config.Clock()
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.config.Rows.Read(callCtx, f.config.Table, "", platform.KeyRange{From: from, Limit: pageSize})
		cancel()
		if err != nil {
			return err
		}
		f.clock.Store(&Clock{Store: page.Now, Local: time.Now()})
		if first {
			version = page.Version
			asOf += page.Delay
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	// OnAvailable must be called before Replace, so that rows missing after an outage are known to be missing since
	// the outage.
	f.markAvailable()
	f.version = version
	f.config.Replace(rows)
	f.confirm(asOf)
	return nil
}

// follow waits for changes. The answer proves only that the copy is complete as of the time at which the store was asked: the
// store may answer early, and the VM may be suspended during the call.
func (f *Follower) follow(ctx context.Context) error {
	asOf := f.config.Clock()
	page, err := f.config.Rows.Follow(ctx, f.config.Table, f.version, f.config.PollInterval)
	if err != nil {
		return err
	}
	asOf += page.Delay
	f.clock.Store(&Clock{Store: page.Now, Local: time.Now()})
	f.markAvailable()
	f.version = max(f.version, page.Version)
	if len(page.Rows) > 0 {
		f.config.Change(page.Rows)
	}
	// A page with More lacks changes from before the call.
	if !page.More {
		f.confirm(asOf)
	}
	if len(page.Rows) > 0 {
		f.coalesce(ctx)
	}
	return nil
}

// PollNow ends the present or next coalesce delay early, for a caller that waits for a change that has been committed.
func (f *Follower) PollNow() { signal(f.pollNow) }

// Hurry tells the follower that somebody waits for a change now, which Awaited reports already.
func (f *Follower) Hurry() { signal(f.hurry) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// coalesce pauses for the coalesce delay, or for the idle delay while nobody waits for a change.
func (f *Follower) coalesce(ctx context.Context) {
	if f.config.CoalesceDelay <= 0 || !f.pause(ctx, f.config.CoalesceDelay, nil) {
		return
	}
	rest := f.config.IdleDelay - f.config.CoalesceDelay
	// A signal from before now is answered by Awaited.
	select {
	case <-f.hurry:
	default:
	}
	if rest > 0 && !f.config.Awaited() {
		f.pause(ctx, rest, f.hurry)
	}
}

// pause reports whether d has passed without PollNow or a signal on hurry.
func (f *Follower) pause(ctx context.Context, d time.Duration, hurry <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-f.pollNow:
	case <-hurry:
	}
	return false
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
