package origins

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/singleflight"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

const (
	// methodStore tells the collector of a shard an origin to be written to the store.
	methodStore peer.Method = "origins.store"

	// tableOrigins holds the origins of recent streams, and the record of each service's versions.
	tableOrigins = "rosemarydyke-origins"
	// shards is the number of groups of attempts. One VM, the collector, writes the origins of a shard, so the number of
	// writes does not grow with the VMs.
	shards = 32
	// flushDelay is the time for which origins are collected for one write.
	flushDelay = 150 * time.Millisecond
	// flushTimeout bounds one write, readTimeout the read of a shard.
	flushTimeout = time.Second
	readTimeout  = 300 * time.Millisecond
	// resubmitAge is the age up to which origins are sent again when the collectors change. The streams of older ones have
	// ended, or have been resumed.
	resubmitAge = 15 * time.Second
	// resubmitInterval limits how often origins are sent again.
	resubmitInterval = time.Second
	// cleanupInterval is the time between two looks for old rows.
	cleanupInterval = 20 * time.Second
	// maxPending bounds the origins that wait to be written, and maxOwn those that may be sent again.
	maxPending = 16_384
	maxOwn     = 4_096
	// maxTxnEntries bounds the rows of one transaction.
	maxTxnEntries = 100
)

var (
	originsStored    = metrics.NewCounter(`rosemarydyke_origins_stored_total`)
	originsNotStored = metrics.NewCounter(`rosemarydyke_origins_not_stored_total`)
)

// storedRow holds the origins of some streams of one shard.
type storedRow struct {
	// WrittenAt is when the row was written, on the store's clock as estimated by the writer.
	WrittenAt time.Duration  `cbor:"1,keyasint"`
	Entries   []storedOrigin `cbor:"2,keyasint"`
}

type storedOrigin struct {
	// Attempt is the hash of the attempt's ID.
	Attempt uint64        `cbor:"1,keyasint"`
	Origin  origin.Origin `cbor:"2,keyasint"`
}

// ownOrigin is the origin of a stream that began at this VM.
type ownOrigin struct {
	attempt   string
	origin    origin.Origin
	at        time.Time
	submitted bool
}

// storedOrigins writes the origins of streams to the store, and reads them.
type storedOrigins struct {
	config Config
	// collector returns the address of the collector of a shard, and whether this VM is it.
	collector func(shard int) (address netip.AddrPort, self bool)
	wake      chan struct{}
	// writer distinguishes the rows of processes.
	writer string
	// reads makes concurrent reads of a shard one.
	reads singleflight.Group

	mu sync.Mutex
	// own lists the recent streams that began here, oldest first.
	own         []ownOrigin
	resubmitDue bool
	resubmitAt  time.Time
	pending     []storedOrigin
	// clock is the store's clock when it was last heard of, at clockAt.
	clock   time.Duration
	clockAt time.Time
	// written holds the keys of rows to be deleted, oldest first.
	written []writtenRow
	copies  map[int]*shardCopy
}

// writtenRow is a row that is deleted once it is older than origin.Retention.
type writtenRow struct {
	key platform.RowKey
	at  time.Time
}

func newStoredOrigins(config Config, collector func(int) (netip.AddrPort, bool)) *storedOrigins {
	return &storedOrigins{
		config:    config,
		collector: collector,
		wake:      make(chan struct{}, 1),
		writer:    fmt.Sprintf("%s/%x", config.Members.Self().VM, time.Now().UnixNano()),
		copies:    map[int]*shardCopy{},
	}
}

// began records the origin of a stream that began here, and submits it if it is ambiguous.
func (o *storedOrigins) began(attempt string, from origin.Origin, ambiguous bool) {
	now := time.Now()
	o.mu.Lock()
	o.expireOwn(now)
	o.own = append(o.own, ownOrigin{attempt: attempt, origin: from, at: now, submitted: ambiguous})
	o.mu.Unlock()
	if ambiguous {
		o.submit(attempt, from)
	}
}

// expireOwn drops old entries. o.mu must be held.
func (o *storedOrigins) expireOwn(now time.Time) {
	n := max(len(o.own)-maxOwn, 0)
	for n < len(o.own) && now.Sub(o.own[n].at) > resubmitAge {
		n++
	}
	o.own = o.own[n:]
}

// submit passes an origin to the collector of its shard.
func (o *storedOrigins) submit(attempt string, from origin.Origin) {
	to, self := o.collector(shardOf(attempt))
	if self {
		o.add(storedOrigin{Attempt: hashOf(attempt), Origin: from})
		return
	}
	if err := o.config.Node.Send(to, methodStore, recordMessage{Attempt: attempt, Origin: from}); err != nil {
		o.config.Log.Debug().Err(err).Str("attempt", attempt).Stringer("to", to).Msg("origin of a stream not sent to its collector; it is not stored")
	}
}

func (o *storedOrigins) add(entry storedOrigin) {
	o.mu.Lock()
	if len(o.pending) >= maxPending {
		o.pending = o.pending[1:]
		originsNotStored.Inc()
	}
	o.pending = append(o.pending, entry)
	o.mu.Unlock()
	o.signal()
}

func (o *storedOrigins) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// resubmit sends the origins of recent streams again that were submitted before, because the collectors have changed.
func (o *storedOrigins) resubmit() {
	o.mu.Lock()
	o.resubmitDue = true
	o.mu.Unlock()
	o.signal()
}

// resubmitAmbiguous submits the origins of recent streams that have become ambiguous.
func (o *storedOrigins) resubmitAmbiguous(ambiguous func(origin.Origin) bool) {
	var due []ownOrigin
	o.mu.Lock()
	o.expireOwn(time.Now())
	for i, own := range o.own {
		if !own.submitted && ambiguous(own.origin) {
			o.own[i].submitted = true
			due = append(due, own)
		}
	}
	o.mu.Unlock()
	for _, own := range due {
		o.submit(own.attempt, own.origin)
	}
}

// setClock records the store's clock.
func (o *storedOrigins) setClock(clock time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clock, o.clockAt = clock, time.Now()
}

// run writes pending origins, and deletes old ones, until ctx ends.
func (o *storedOrigins) run(ctx context.Context) {
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cleanup.C:
			o.findOldRows(ctx)
		case <-o.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushDelay):
		}
		due, later := o.takeResubmissions()
		for _, own := range due {
			o.submit(own.attempt, own.origin)
		}
		if o.flush(ctx) || later {
			o.signal()
		}
	}
}

// takeResubmissions returns the origins to be sent again, and whether some are due later.
func (o *storedOrigins) takeResubmissions() (due []ownOrigin, later bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.resubmitDue {
		return nil, false
	}
	o.expireOwn(now)
	for _, own := range o.own {
		if own.submitted {
			due = append(due, own)
		}
	}
	if len(due) > 0 && now.Sub(o.resubmitAt) < resubmitInterval {
		return nil, true
	}
	o.resubmitDue, o.resubmitAt = false, now
	return due, false
}

// flush writes pending origins, and reports whether some remain.
func (o *storedOrigins) flush(ctx context.Context) (more bool) {
	o.mu.Lock()
	idle := len(o.pending) == 0 && (len(o.written) == 0 || time.Since(o.written[0].at) <= origin.Retention)
	o.mu.Unlock()
	if idle {
		return false
	}
	if !o.knowsClock(ctx) {
		return true
	}
	o.mu.Lock()
	entries := o.pending
	o.pending = nil
	now := time.Now()
	clock := o.clock + now.Sub(o.clockAt)
	txn := platform.RowTxn{}
	for len(o.written) > 0 && now.Sub(o.written[0].at) > origin.Retention && len(txn.Deletes) < maxTxnEntries-shards {
		txn.Deletes = append(txn.Deletes, o.written[0].key)
		o.written = o.written[1:]
	}
	o.mu.Unlock()
	byShard := map[int][]storedOrigin{}
	for _, entry := range entries {
		shard := int(entry.Attempt % shards)
		byShard[shard] = append(byShard[shard], entry)
	}
	for shard, list := range byShard {
		value, err := cbor.Marshal(storedRow{WrittenAt: clock, Entries: list})
		if err != nil {
			o.config.Log.Error().Err(err).Msg("origins of streams not encoded; they are not stored")
			continue
		}
		key := platform.RowKey{Table: tableOrigins, Key: fmt.Sprintf("%s%016x/%s", shardPrefix(shard), clock.Milliseconds(), o.writer)}
		txn.Writes = append(txn.Writes, platform.RowWrite{RowKey: key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_, err := o.config.Rows.Apply(callCtx, txn)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.config.Log.Info().Err(err).Int("origins", len(entries)).Msg("origins of streams not stored; written again")
		o.pending = append(entries, o.pending...)
		if excess := len(o.pending) - maxPending; excess > 0 {
			o.pending = o.pending[excess:]
			originsNotStored.Add(excess)
		}
		return true
	}
	originsStored.Add(len(entries))
	for _, w := range txn.Writes {
		o.written = append(o.written, writtenRow{w.RowKey, now})
	}
	return len(o.pending) > 0
}
