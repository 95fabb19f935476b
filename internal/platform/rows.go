package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryLost means that the store no longer keeps all changes after a version: the caller must read the table again.
var ErrHistoryLost = errors.New("platform: history of the table is not kept any more")

// RowKey identifies a row of a partitioned table. All rows of one transaction must be in the same partition.
type RowKey struct {
	Table, Part, Key string
}

// TableRow is one row of a partitioned table.
type TableRow struct {
	RowKey
	Value []byte
	// Version is the version of the transaction that wrote the row. One counter of the whole store numbers all
	// transactions.
	Version uint64
	// Deleted marks a deleted row in a page of changes.
	Deleted bool
}

// RowCondition requires a row to be at a version when a transaction is applied. Version zero requires its absence.
type RowCondition struct {
	RowKey
	Version uint64
}

// RowWrite sets one row.
type RowWrite struct {
	RowKey
	Value []byte
}

// RowTxn is a transaction. It is applied atomically if all its conditions hold.
type RowTxn struct {
	Conditions []RowCondition
	Writes     []RowWrite
	Deletes    []RowKey
}

// KeyRange selects keys from From up to, but excluding, To. An empty bound is open. Limit zero means the store's own
// limit.
type KeyRange struct {
	From, To string
	Limit    int
}

// Page is a page of rows or of changes.
type Page struct {
	Rows []TableRow
	// Version is the newest version of the store, which the rows reflect.
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
	// More reports that the range holds further rows.
	More bool
	// Delay is the time from the call until the store was asked for the page in the end, if earlier attempts failed. It is less
	// than the true time if the VM was suspended meanwhile.
	Delay time.Duration `cbor:"-"`
}

// RowConflictError reports that a condition did not hold. Nothing was written.
type RowConflictError struct {
	// Rows are the current rows of all conditions, without those that are absent.
	Rows []TableRow
}

// Error implements error.
func (e *RowConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: transaction conflict on absent rows"
	}
	return fmt.Sprintf("platform: transaction conflict, %q is at version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// Find returns the current row of a key, or nil if it is absent.
func (e *RowConflictError) Find(key RowKey) *TableRow {
	for i := range e.Rows {
		if e.Rows[i].RowKey == key {
			return &e.Rows[i]
		}
	}
	return nil
}

// Rows is a store of partitioned tables whose changes can be followed.
type Rows interface {
	// Read returns the rows of a partition within a range, by key. It fails with ErrUnavailable.
	Read(ctx context.Context, table, part string, keys KeyRange) (Page, error)
	// Follow returns the changes of a table after a version. If there are none, it waits for the next change, and
	// returns an empty page after wait. It fails with ErrUnavailable or ErrHistoryLost.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Apply applies txn and returns its version.
	// It fails with *RowConflictError, ErrUnavailable or ErrOutcomeUnknown.
	Apply(ctx context.Context, txn RowTxn) (uint64, error)
}
