package client

import (
	"context"
	"net/http"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/wire"
)

type table struct{ c *Client }

// Get implements platform.Table.
func (t table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows wire.RowsResponse
	if _, err := t.c.post(ctx, wire.PathTableGet, wire.GetRequest{Keys: keys}, &rows, nil); err != nil {
		return nil, asRead(err)
	}
	return rows.Rows, nil
}

// Scan implements platform.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows wire.RowsResponse
	request := wire.ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if _, err := t.c.post(ctx, wire.PathTableScan, request, &rows, nil); err != nil {
		return nil, asRead(err)
	}
	return rows.Rows, nil
}

// Commit implements platform.Table.
func (t table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	var committed wire.CommitResponse
	var conflict wire.RowsResponse
	status, err := t.c.post(ctx, wire.PathTableCommit, txn, &committed, &conflict)
	if err != nil {
		return 0, asWrite(err)
	}
	if status == http.StatusConflict {
		return 0, &platform.ConflictError{Rows: conflict.Rows}
	}
	return committed.Version, nil
}
