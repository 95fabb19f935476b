package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// write is one conditional write of a record. Its result does not depend on other writes of its group.
type write struct {
	ctx     context.Context
	key     string
	version uint64
	record  idempotency.Record
	done    chan writeResult

	// uncertain means that a response was lost, so the write may have taken effect.
	uncertain bool
}

// writeResult is the result of a write.
type writeResult struct {
	// version is the version of the row after a write that took effect.
	version uint64
	// conflict is the current row, if its version is not the expected one.
	conflict *platform.Row
	// err is ErrUnavailable if the write has not taken effect and never will, ErrOutcomeUnknown if it may have or may still.
	err error
}

// committer batches all pending writes into one transaction (group commit), so that the table's
// transactions per second do not grow with the requests per second.
type committer struct {
	table    platform.Table
	queue    chan *write
	interval time.Duration
	metrics  *ledgerMetrics
	// stopped is closed when run has returned and no more writes are committed.
	stopped chan struct{}
}

const (
	// maxGroupWrites is the maximum number of writes in one transaction.
	maxGroupWrites = 128
	// maxQueueLength is the maximum number of queued writes.
	maxQueueLength = 1024
	// retryInterval is the minimum time between attempts while the table does not respond.
	retryInterval = 50 * time.Millisecond
)

// submit queues a write and waits for its result.
func (c *committer) submit(ctx context.Context, key string, version uint64, record idempotency.Record) writeResult {
	return c.enqueue(&write{ctx: ctx, key: key, version: version, record: record, done: make(chan writeResult, 1)})
}

// resubmit is submit for a write that may already have taken effect.
func (c *committer) resubmit(ctx context.Context, key string, version uint64, record idempotency.Record) writeResult {
	w := &write{ctx: ctx, key: key, version: version, record: record, done: make(chan writeResult, 1), uncertain: true}
	return c.enqueue(w)
}

func (c *committer) enqueue(w *write) writeResult {
	ctx := w.ctx
	select {
	case c.queue <- w:
	case <-ctx.Done():
		return writeResult{err: w.unresolvedError()}
	}
	select {
	case result := <-w.done:
		return result
	case <-c.stopped:
		return writeResult{err: platform.ErrOutcomeUnknown}
	}
}

// run commits groups until ctx ends.
func (c *committer) run(ctx context.Context) {
	defer close(c.stopped)
	var unfinished []*write
	for {
		group, ok := c.collect(ctx, unfinished)
		if !ok {
			failWrites(group)
			return
		}
		unfinished = c.commit(ctx, group)
		if len(unfinished) > 0 || c.interval > 0 {
			sleep(ctx, c.commitDelay(unfinished))
		}
	}
}

func (c *committer) commitDelay(unfinished []*write) time.Duration {
	if len(unfinished) > 0 {
		return max(c.interval, retryInterval)
	}
	return c.interval
}

// collect returns the writes of the next group: the unfinished ones in group, and queued ones. It blocks while there are none.
// It returns false at the end of ctx.
func (c *committer) collect(ctx context.Context, group []*write) (next []*write, ok bool) {
	if len(group) == 0 {
		select {
		case w := <-c.queue:
			group = append(group, w)
		case <-ctx.Done():
			return nil, false
		}
	}
	for len(group) < maxGroupWrites {
		select {
		case w := <-c.queue:
			group = append(group, w)
		default:
			return group, ctx.Err() == nil
		}
	}
	return group, ctx.Err() == nil
}

// commit commits group and returns the unfinished writes. A conflict ends only the writes that
// it concerns; the others are committed again at once.
func (c *committer) commit(ctx context.Context, group []*write) []*write {
	pending := failExpired(group)
	deferred := []*write(nil)
	for len(pending) > 0 {
		var txn platform.Txn
		txn, pending, deferred = buildTransaction(pending, deferred)
		c.metrics.commits.Inc()
		c.metrics.groupSize.Update(float64(len(pending)))
		version, err := c.table.Commit(ctx, txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			completeWrites(pending, writeResult{version: version})
			pending, deferred = deferred, nil
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			remaining := resolveConflicts(pending, conflict.Rows)
			if len(remaining) == len(pending) {
				return append(pending, deferred...)
			}
			pending, deferred = append(remaining, deferred...), nil
		default:
			markUncertain(pending, err)
			return append(pending, deferred...)
		}
	}
	return nil
}

// buildTransaction builds the transaction of the pending writes. It returns the writes that the transaction includes,
// and appends to deferred all but the first write of each key, since a transaction can have only one condition per row.
func buildTransaction(pending, deferred []*write) (platform.Txn, []*write, []*write) {
	var txn platform.Txn
	var included []*write
	seen := map[string]bool{}
	for _, w := range pending {
		if seen[w.key] {
			deferred = append(deferred, w)
			continue
		}
		seen[w.key] = true
		value, err := cbor.Marshal(w.record)
		if err != nil {
			w.done <- writeResult{err: platform.ErrUnavailable}
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: w.key, Version: w.version})
		txn.Writes = append(txn.Writes, platform.Write{Key: w.key, Value: value})
		included = append(included, w)
	}
	return txn, included, deferred
}

// resolveConflicts completes the writes whose rows have another version than expected, and returns the others.
func resolveConflicts(pending []*write, rows []platform.Row) []*write {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var remaining []*write
	for _, w := range pending {
		row, found := byKey[w.key]
		switch {
		case !found:
			remaining = append(remaining, w)
		case w.uncertain && hasRecord(row, w.record):
			w.done <- writeResult{version: row.Version}
		default:
			w.done <- writeResult{conflict: &row}
		}
	}
	return remaining
}

// hasRecord reports whether row is the result of writing record.
func hasRecord(row platform.Row, record idempotency.Record) bool {
	var current idempotency.Record
	return cbor.Unmarshal(row.Value, &current) == nil && current.Same(record)
}

// failExpired fails the writes whose context has ended and returns the others.
func failExpired(group []*write) []*write {
	var remaining []*write
	for _, w := range group {
		if w.ctx.Err() == nil {
			remaining = append(remaining, w)
			continue
		}
		w.done <- writeResult{err: w.unresolvedError()}
	}
	return remaining
}

func (w *write) unresolvedError() error {
	if w.uncertain {
		return platform.ErrOutcomeUnknown
	}
	return platform.ErrUnavailable
}

func markUncertain(writes []*write, err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		return
	}
	for _, w := range writes {
		w.uncertain = true
	}
}

func completeWrites(group []*write, result writeResult) {
	for _, w := range group {
		w.done <- result
	}
}

func failWrites(group []*write) {
	for _, w := range group {
		w.done <- writeResult{err: w.unresolvedError()}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
