package idempotency

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// SweeperConfig configures a Sweeper.
type SweeperConfig struct {
	Table platform.Table
	// ShouldSweep reports whether this VM is the one that sweeps. If it is true on two VMs, reads are wasted but nothing
	// else goes wrong.
	ShouldSweep func() bool
	Log         zerolog.Logger
	// Retention is how long a record is kept after its creation. Default 72h.
	Retention time.Duration
	// PageInterval is the time between two reads within a sweep. Default 1s.
	PageInterval time.Duration
	// SweepInterval is the time between two sweeps. Default 10m.
	SweepInterval time.Duration
}

const (
	defaultRetention     = 72 * time.Hour
	defaultPageInterval  = time.Second
	defaultSweepInterval = 10 * time.Minute
	// rowsPerPage is the number of rows per read.
	rowsPerPage = 1000
	// maxDeletesPerCommit is the maximum number of rows that one transaction deletes.
	maxDeletesPerCommit = 128
)

func (c *SweeperConfig) setDefaults() {
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.PageInterval == 0 {
		c.PageInterval = defaultPageInterval
	}
	if c.SweepInterval == 0 {
		c.SweepInterval = defaultSweepInterval
	}
}

// Sweeper removes old records from the table.
type Sweeper struct {
	config  SweeperConfig
	removed *metrics.Counter
}

// NewSweeper returns a sweeper.
func NewSweeper(config SweeperConfig) *Sweeper {
	config.setDefaults()
	return &Sweeper{config: config, removed: metrics.GetOrCreateCounter("rosemarydyke_idempotency_removed_total")}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, s.config.SweepInterval)
		s.sweep(ctx)
	}
}

// sweep reads all records page by page and removes the expired ones.
func (s *Sweeper) sweep(ctx context.Context) {
	after := ""
	for ctx.Err() == nil && s.config.ShouldSweep() {
		rows, err := s.config.Table.Scan(ctx, rowPrefix, after, rowsPerPage)
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("idempotency records not read; expired ones stay until the next sweep")
			return
		}
		s.remove(ctx, s.expired(rows))
		if len(rows) < rowsPerPage {
			return
		}
		after = rows[len(rows)-1].Key
		sleep(ctx, s.config.PageInterval)
	}
}

// expired returns the rows that are older than the retention. The difference between the VMs' wall clocks is negligible
// compared to it.
func (s *Sweeper) expired(rows []platform.Row) []platform.Row {
	cutoff := time.Now().Add(-s.config.Retention).Unix()
	var expired []platform.Row
	for _, row := range rows {
		var record idempotency.Record
		if cbor.Unmarshal(row.Value, &record) == nil && record.CreatedUnix < cutoff {
			expired = append(expired, row)
		}
	}
	return expired
}

// remove deletes rows that have not changed. Rows whose transaction fails are left to the next sweep.
func (s *Sweeper) remove(ctx context.Context, rows []platform.Row) {
	for start := 0; start < len(rows); start += maxDeletesPerCommit {
		var txn platform.Txn
		for _, row := range rows[start:min(len(rows), start+maxDeletesPerCommit)] {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
		if _, err := s.config.Table.Commit(ctx, txn); err == nil {
			s.removed.Add(len(txn.Writes))
		}
	}
}
