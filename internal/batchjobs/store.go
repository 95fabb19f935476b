package batchjobs

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Tables of the platform's store. All of these rows share one partition, since a transaction cannot span two.
const (
	tableHeads  = "rosemarydyke-jobs"
	tableBodies = "rosemarydyke-job-bodies"
	tableTexts  = "rosemarydyke-job-texts"
	// quotaPrefix starts the keys of the rows that serialize the submissions of an account to a route. Job IDs do not begin
	// with a tilde.
	quotaPrefix = "~quota/"
)

const (
	// maxRowBytes bounds the content of one row, in bytes: as base64 it stays below the store's limit of 64 KiB.
	maxRowBytes = 45_000
	// maxTxnRows bounds the content rows of one transaction: together they stay below the store's limit of 1 MB.
	maxTxnRows = 4
)

// errOwnerChanged means that another VM has taken a job over.
var errOwnerChanged = errors.New("another VM owns the job")

// store reads and writes jobs.
type store struct {
	rows platform.Rows
}

func headKey(job string) platform.RowKey { return platform.RowKey{Table: tableHeads, Key: job} }

func bodyKey(job string, row int) platform.RowKey {
	return platform.RowKey{Table: tableBodies, Key: fmt.Sprintf("%s/%03d", job, row)}
}

func textKey(job string, position, row int) platform.RowKey {
	return platform.RowKey{Table: tableTexts, Key: fmt.Sprintf("%s/%03d/%03d", job, position, row)}
}

// split cuts content into parts that fit a row. Empty content has no parts.
func split(content []byte) [][]byte {
	var parts [][]byte
	for len(content) > 0 {
		n := min(len(content), maxRowBytes)
		parts = append(parts, content[:n])
		content = content[n:]
	}
	return parts
}

// putBody writes the first parts of a submission that does not fit one transaction. It returns the remaining
// writes, which belong to the transaction that creates the head.
func (s *store) putBody(ctx context.Context, job string, parts [][]byte) ([]platform.RowWrite, error) {
	writes := make([]platform.RowWrite, 0, len(parts))
	for i, part := range parts {
		writes = append(writes, platform.RowWrite{RowKey: bodyKey(job, i), Value: part})
	}
	for len(writes) > maxTxnRows {
		if _, err := s.rows.Apply(ctx, platform.RowTxn{Writes: writes[:maxTxnRows]}); err != nil {
			return nil, err
		}
		writes = writes[maxTxnRows:]
	}
	return writes, nil
}

// create writes a job if it does not exist and the quota condition holds, that is, no other job of the account has been
// accepted on the route since the version in the condition.
func (s *store) create(ctx context.Context, job string, head *Head, body []platform.RowWrite, quota platform.RowCondition) (uint64, error) {
	content, err := head.encode()
	if err != nil {
		return 0, err
	}
	holder := head.Account
	if holder == "" {
		holder = job
	}
	txn := platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: headKey(job)}, quota},
		Writes: append([]platform.RowWrite{
			{RowKey: headKey(job), Value: content},
			{RowKey: quota.RowKey, Value: []byte(holder)},
		}, body...),
	}
	return s.rows.Apply(ctx, txn)
}

// update replaces the head of a job if it is still at the given version, together with the texts of new
// results.
func (s *store) update(ctx context.Context, job string, head *Head, version uint64, texts []platform.RowWrite) (uint64, error) {
	content, err := head.encode()
	if err != nil {
		return 0, err
	}
	return s.rows.Apply(ctx, platform.RowTxn{
		Conditions: []platform.RowCondition{{RowKey: headKey(job), Version: version}},
		Writes:     append([]platform.RowWrite{{RowKey: headKey(job), Value: content}}, texts...),
	})
}

// readHead reads the head of a job. It returns nil when there is no such job.
func (s *store) readHead(ctx context.Context, job string) (*Head, uint64, error) {
	page, err := s.rows.Read(ctx, tableHeads, "", platform.KeyRange{From: job, To: job + "\x00", Limit: 1})
	if err != nil {
		return nil, 0, err
	}
	if len(page.Rows) == 0 {
		return nil, 0, nil
	}
	head, err := decodeHead(page.Rows[0].Value)
	return head, page.Rows[0].Version, err
}

// readRows reads the rows whose keys have a prefix that ends in "/", until there are at least as many as wanted
// or no more. The character after "/" is "0".
func (s *store) readRows(ctx context.Context, table, part, prefix string, want int) ([]platform.TableRow, error) {
	var rows []platform.TableRow
	from := prefix
	for len(rows) < want {
		page, err := s.rows.Read(ctx, table, part, platform.KeyRange{From: from, To: prefix[:len(prefix)-1] + "0"})
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	return rows, nil
}

// readBody reads the submission of a job.
func (s *store) readBody(ctx context.Context, job string, count int) ([]byte, error) {
	rows, err := s.readRows(ctx, tableBodies, "", job+"/", count)
	if err != nil {
		return nil, err
	}
	if len(rows) != count {
		return nil, fmt.Errorf("submission of job %q: read %d of %d rows", job, len(rows), count)
	}
	var body []byte
	for _, row := range rows {
		body = append(body, row.Value...)
	}
	return body, nil
}

// readText reads the text of a result.
func (s *store) readText(ctx context.Context, job string, position int, result ResultHead) ([]byte, error) {
	if result.TextRows == 0 {
		return nil, nil
	}
	rows, err := s.readRows(ctx, tableTexts, "", fmt.Sprintf("%s/%03d/", job, position), result.TextRows)
	if err != nil {
		return nil, err
	}
	var text []byte
	for _, row := range rows {
		text = append(text, row.Value...)
	}
	if len(text) != result.Bytes {
		return nil, fmt.Errorf("text of result %d of job %q: read %d of %d bytes", position, job, len(text), result.Bytes)
	}
	return text, nil
}

// textWrites returns the rows of a result's text, and sets the text's size in the result.
func textWrites(job string, position int, text []byte, result *ResultHead) []platform.RowWrite {
	var writes []platform.RowWrite
	for i, part := range split(text) {
		writes = append(writes, platform.RowWrite{RowKey: textKey(job, position, i), Value: part})
	}
	result.Bytes, result.TextRows = len(text), len(writes)
	return writes
}
