package memory

import (
	"bytes"
	"context"
	"sort"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// maxHistory is the number of changes that are kept for Follow.
const maxHistory = 4096

// rowStore holds partitioned tables and the history of their changes. It is guarded by Platform.mu.
type rowStore struct {
	version uint64
	rows    map[platform.RowKey]platform.TableRow
	history []platform.TableRow
	// discarded is the newest version whose changes are no longer in history.
	discarded uint64
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newRowStore() rowStore {
	return rowStore{rows: map[platform.RowKey]platform.TableRow{}, changed: make(chan struct{})}
}

var _ platform.Rows = (*Platform)(nil)

func (p *Platform) now() time.Duration { return time.Since(p.started) }

// Read implements platform.Rows.
func (p *Platform) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	if ctx.Err() != nil {
		return platform.Page{}, platform.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	page := platform.Page{Version: p.version, Now: p.now()}
	if keys.To == keys.From+"\x00" {
		if row, ok := p.rows[platform.RowKey{Table: table, Part: part, Key: keys.From}]; ok {
			page.Rows = append(page.Rows, row)
		}
		return page, nil
	}
	for key, row := range p.rows {
		if key.Table == table && key.Part == part && key.Key >= keys.From && (keys.To == "" || key.Key < keys.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	if keys.Limit > 0 && len(page.Rows) > keys.Limit {
		page.Rows, page.More = page.Rows[:keys.Limit], true
	}
	return page, nil
}

// Parts returns the sorted names of a table's partitions that have rows.
func (p *Platform) Parts(table string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	var parts []string
	for key := range p.rows {
		if key.Table == table && !seen[key.Part] {
			seen[key.Part] = true
			parts = append(parts, key.Part)
		}
	}
	sort.Strings(parts)
	return parts
}

// Follow implements platform.Rows.
func (p *Platform) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := p.changesSince(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return platform.Page{}, platform.ErrUnavailable
		case <-timer.C:
			return page, nil
		case <-changed:
		}
	}
}

func (p *Platform) changesSince(table string, after uint64) (platform.Page, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.discarded {
		return platform.Page{}, nil, platform.ErrHistoryLost
	}
	page := platform.Page{Version: p.version, Now: p.now()}
	for _, row := range p.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, p.changed, nil
}

// DiscardHistory drops all changes, so that Follow fails with platform.ErrHistoryLost and followers read their tables
// again.
func (p *Platform) DiscardHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.discarded = nil, p.version
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Apply implements platform.Rows.
func (p *Platform) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	if ctx.Err() != nil {
		return 0, platform.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conflict := p.conflict(txn.Conditions); conflict != nil {
		return 0, conflict
	}
	p.version++
	for _, w := range txn.Writes {
		row := platform.TableRow{RowKey: w.RowKey, Value: bytes.Clone(w.Value), Version: p.version}
		p.rows[w.RowKey] = row
		p.history = append(p.history, row)
	}
	for _, key := range txn.Deletes {
		delete(p.rows, key)
		p.history = append(p.history, platform.TableRow{RowKey: key, Version: p.version, Deleted: true})
	}
	if excess := len(p.history) - maxHistory; excess > 0 {
		p.discarded = p.history[excess-1].Version
		p.history = append([]platform.TableRow(nil), p.history[excess:]...)
	}
	p.notify()
	return p.version, nil
}

// conflict returns a *platform.RowConflictError with the current rows of all conditions if one of them does not hold.
func (p *Platform) conflict(conditions []platform.RowCondition) error {
	holds := true
	conflict := &platform.RowConflictError{}
	for _, c := range conditions {
		row, present := p.rows[c.RowKey]
		if present {
			conflict.Rows = append(conflict.Rows, row)
		}
		holds = holds && row.Version == c.Version
	}
	if holds {
		return nil
	}
	return conflict
}
