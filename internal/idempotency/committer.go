package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// write is one conditional write of a record, independent of all others.
type write struct {
	ctx     context.Context
	key     string
	version uint64
	record  idempotency.Record
	done    chan writeResult

	// uncertain is set once a reply was lost: the write may be in force.
	uncertain bool
}

// writeResult is the end of a write.
type writeResult struct {
	// version is the version of the row after a write that took effect.
	version uint64
	// conflict is the row that was found instead.
	conflict *platform.Row
	// err is ErrUnavailable when nothing was or will be written, ErrOutcomeUnknown when that is not known.
	err error
}

// committer writes records in groups, one transaction for all writes that wait, so that the table's
// writes per second do not grow with the requests per second.
type committer struct {
	table    platform.Table
	queue    chan *write
	interval time.Duration
	metrics  *ledgerMetrics
	// stopped is closed when no more writes are carried out.
	stopped chan struct{}
}

const (
	// maxGroup bounds the writes in one transaction.
	maxGroup = 128
	// queueLength bounds the writes that wait.
	queueLength = 1024
	// retryInterval separates attempts while the table does not answer.
	retryInterval = 50 * time.Millisecond
)

// submit hands over a write and waits for its end.
func (c *committer) submit(ctx context.Context, key string, version uint64, record idempotency.Record) writeResult {
	return c.enqueue(&write{ctx: ctx, key: key, version: version, record: record, done: make(chan writeResult, 1)})
}

// submitUncertain is submit for a write that may be in force already.
func (c *committer) submitUncertain(ctx context.Context, key string, version uint64, record idempotency.Record) writeResult {
	w := &write{ctx: ctx, key: key, version: version, record: record, done: make(chan writeResult, 1), uncertain: true}
	return c.enqueue(w)
}

func (c *committer) enqueue(w *write) writeResult {
	ctx := w.ctx
	select {
	case c.queue <- w:
	case <-ctx.Done():
		return writeResult{err: w.openError()}
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
	var pending []*write
	for {
		group, ok := c.collect(ctx, pending)
		if !ok {
			abandon(group)
			return
		}
		pending = c.commit(ctx, group)
		if len(pending) > 0 || c.interval > 0 {
			pause(ctx, c.delay(pending))
		}
	}
}

func (c *committer) delay(pending []*write) time.Duration {
	if len(pending) > 0 {
		return max(c.interval, retryInterval)
	}
	return c.interval
}

// collect returns the writes of the next group: those left over, and those that wait. It blocks while there are none.
func (c *committer) collect(ctx context.Context, group []*write) (next []*write, ok bool) {
	if len(group) == 0 {
		select {
		case w := <-c.queue:
			group = append(group, w)
		case <-ctx.Done():
			return nil, false
		}
	}
	for len(group) < maxGroup {
		select {
		case w := <-c.queue:
			group = append(group, w)
		default:
			return group, ctx.Err() == nil
		}
	}
	return group, ctx.Err() == nil
}

// commit writes group and returns the writes that are still open. A conflict ends only the writes that
// it concerns; the others are sent again at once.
func (c *committer) commit(ctx context.Context, group []*write) []*write {
	open := expire(group)
	held := []*write(nil)
	for len(open) > 0 {
		var txn platform.Txn
		txn, open, held = transaction(open, held)
		c.metrics.commits.Inc()
		c.metrics.groupSize.Update(float64(len(open)))
		version, err := c.table.Commit(ctx, txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			finish(open, writeResult{version: version})
			open, held = held, nil
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			rest := settleConflicts(open, conflict.Rows)
			if len(rest) == len(open) {
				return append(open, held...)
			}
			open, held = append(rest, held...), nil
		default:
			markUncertain(open, err)
			return append(open, held...)
		}
	}
	return nil
}

// transaction builds the transaction of open. Of several writes of one key all but the first are held
// back, since a transaction can hold one condition for each row.
func transaction(open, held []*write) (platform.Txn, []*write, []*write) {
	var txn platform.Txn
	var taken []*write
	seen := map[string]bool{}
	for _, w := range open {
		if seen[w.key] {
			held = append(held, w)
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
		taken = append(taken, w)
	}
	return txn, taken, held
}

// settleConflicts ends the writes whose rows were found at another version and returns the rest.
func settleConflicts(open []*write, rows []platform.Row) []*write {
	byKey := map[string]platform.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	var rest []*write
	for _, w := range open {
		row, found := byKey[w.key]
		switch {
		case !found:
			rest = append(rest, w)
		case w.uncertain && holds(row, w.record):
			w.done <- writeResult{version: row.Version}
		default:
			w.done <- writeResult{conflict: &row}
		}
	}
	return rest
}

// holds reports whether row is the effect of writing record.
func holds(row platform.Row, record idempotency.Record) bool {
	var present idempotency.Record
	return cbor.Unmarshal(row.Value, &present) == nil && present.Same(record)
}

// expire ends the writes whose time is over and returns the rest.
func expire(group []*write) []*write {
	var rest []*write
	for _, w := range group {
		if w.ctx.Err() == nil {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{err: w.openError()}
	}
	return rest
}

func (w *write) openError() error {
	if w.uncertain {
		return platform.ErrOutcomeUnknown
	}
	return platform.ErrUnavailable
}

func markUncertain(open []*write, err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		return
	}
	for _, w := range open {
		w.uncertain = true
	}
}

func finish(group []*write, result writeResult) {
	for _, w := range group {
		w.done <- result
	}
}

func abandon(group []*write) {
	for _, w := range group {
		w.done <- writeResult{err: w.openError()}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
