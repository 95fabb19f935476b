package platform

import (
	"context"
	"errors"
)

// SystemTable is the table of the store that holds all rows of a Table, in a single partition.
const SystemTable = "rosemarydyke"

// maxScanPageRows limits one read of Scan: the store returns at most 500 rows.
const maxScanPageRows = 500

// rowTable implements Table on one partition of a store of partitioned tables.
type rowTable struct{ rows Rows }

// NewTable returns the Table that is stored in SystemTable.
func NewTable(rows Rows) Table { return rowTable{rows} }

func systemKey(key string) RowKey { return RowKey{Table: SystemTable, Key: key} }

// afterKey returns the smallest key that is greater than key.
func afterKey(key string) string { return key + "\x00" }

// Get implements Table. It reads each row on its own, so the rows may not form a consistent snapshot.
func (t rowTable) Get(ctx context.Context, keys ...string) ([]Row, error) {
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		page, err := t.rows.Read(ctx, SystemTable, "", KeyRange{From: key, To: afterKey(key), Limit: 1})
		if err != nil {
			return nil, err
		}
		row := Row{Key: key}
		if len(page.Rows) > 0 {
			row.Value, row.Version = page.Rows[0].Value, page.Rows[0].Version
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan implements Table.
func (t rowTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	from := prefix
	if after >= prefix {
		from = afterKey(after)
	}
	var rows []Row
	for len(rows) < limit {
		page, err := t.rows.Read(ctx, SystemTable, "", KeyRange{From: from, To: prefixEnd(prefix), Limit: min(limit-len(rows), maxScanPageRows)})
		if err != nil {
			return nil, err
		}
		for _, r := range page.Rows {
			rows = append(rows, Row{Key: r.Key, Value: r.Value, Version: r.Version})
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = afterKey(page.Rows[len(page.Rows)-1].Key)
	}
	return rows, nil
}

// prefixEnd returns the smallest key that is greater than all keys with the prefix, or "" if there is none.
func prefixEnd(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0xff {
			return prefix[:i] + string([]byte{prefix[i] + 1})
		}
	}
	return ""
}

// Commit implements Table.
func (t rowTable) Commit(ctx context.Context, txn Txn) (uint64, error) {
	var out RowTxn
	for _, c := range txn.Conditions {
		out.Conditions = append(out.Conditions, RowCondition{RowKey: systemKey(c.Key), Version: c.Version})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			out.Deletes = append(out.Deletes, systemKey(w.Key))
		} else {
			out.Writes = append(out.Writes, RowWrite{RowKey: systemKey(w.Key), Value: w.Value})
		}
	}
	version, err := t.rows.Apply(ctx, out)
	var conflict *RowConflictError
	if errors.As(err, &conflict) {
		return 0, failedConditions(txn.Conditions, conflict)
	}
	return version, err
}

// failedConditions returns the current rows of the conditions that did not hold.
func failedConditions(conditions []Condition, conflict *RowConflictError) *ConflictError {
	failed := &ConflictError{}
	for _, c := range conditions {
		present := Row{Key: c.Key}
		if row := conflict.Find(systemKey(c.Key)); row != nil {
			present.Value, present.Version = row.Value, row.Version
		}
		if present.Version != c.Version {
			failed.Rows = append(failed.Rows, present)
		}
	}
	return failed
}
