package platform

import (
	"context"
	"errors"
)

// SystemTable is the table, with one partition, that holds the rows of a Table.
const SystemTable = "rosemarydyke"

// maxScanPage bounds one reading of a Scan: the store returns 500 rows at most.
const maxScanPage = 500

// keyed is a Table in one partition of a store of partitioned tables.
type keyed struct{ rows Rows }

// NewTable returns the Table that is kept in ProductTable.
func NewTable(rows Rows) Table { return keyed{rows} }

func productKey(key string) RowKey { return RowKey{Table: SystemTable, Key: key} }

// afterKey is the least key that is greater than a key.
func afterKey(key string) string { return key + "\x00" }

// Get implements Table. The rows may be of different moments.
func (t keyed) Get(ctx context.Context, keys ...string) ([]Row, error) {
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
func (t keyed) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	from := prefix
	if after >= prefix {
		from = afterKey(after)
	}
	var rows []Row
	for len(rows) < limit {
		page, err := t.rows.Read(ctx, SystemTable, "", KeyRange{From: from, To: prefixEnd(prefix), Limit: min(limit-len(rows), maxScanPage)})
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

// prefixEnd is the least key that is greater than all keys with a prefix, or nothing when there is none.
func prefixEnd(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0xff {
			return prefix[:i] + string([]byte{prefix[i] + 1})
		}
	}
	return ""
}

// Commit implements Table.
func (t keyed) Commit(ctx context.Context, txn Txn) (uint64, error) {
	var out RowTxn
	for _, c := range txn.Conditions {
		out.Conditions = append(out.Conditions, RowCondition{RowKey: productKey(c.Key), Version: c.Version})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			out.Deletes = append(out.Deletes, productKey(w.Key))
		} else {
			out.Writes = append(out.Writes, RowWrite{RowKey: productKey(w.Key), Value: w.Value})
		}
	}
	version, err := t.rows.Apply(ctx, out)
	var conflict *RowConflictError
	if errors.As(err, &conflict) {
		return 0, failedConditions(txn.Conditions, conflict)
	}
	return version, err
}

// failedConditions keeps the rows of those conditions that did not hold.
func failedConditions(conditions []Condition, conflict *RowConflictError) *ConflictError {
	failed := &ConflictError{}
	for _, c := range conditions {
		present := Row{Key: c.Key}
		if row := conflict.Find(productKey(c.Key)); row != nil {
			present.Value, present.Version = row.Value, row.Version
		}
		if present.Version != c.Version {
			failed.Rows = append(failed.Rows, present)
		}
	}
	return failed
}
