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
	// ShouldSweep reports whether this VM is the one to sweep. Two VMs that both think so only waste reads.
	ShouldSweep func() bool
	Log         zerolog.Logger
	// Retention is how long a key is remembered after its first use. Default 72h.
	Retention time.Duration
	// PageInterval is the time between two reads of a sweep. Default 1s.
	PageInterval time.Duration
	// SweepInterval is the time between two sweeps. Default 10m.
	SweepInterval time.Duration
}

const (
	defaultRetention     = 72 * time.Hour
	defaultPageInterval  = time.Second
	defaultSweepInterval = 10 * time.Minute
	// pageRows is the number of rows of one read.
	pageRows = 1000
	// maxDeletes bounds the rows that one transaction removes.
	maxDeletes = 128
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
		pause(ctx, s.config.SweepInterval)
		s.sweep(ctx)
	}
}

// sweep reads all records once, page by page.
func (s *Sweeper) sweep(ctx context.Context) {
	after := ""
	for ctx.Err() == nil && s.config.ShouldSweep() {
		rows, err := s.config.Table.Scan(ctx, rowPrefix, after, pageRows)
		if err != nil {
			s.config.Log.Warn().Err(err).Msg("old idempotency records not removed")
			return
		}
		s.remove(ctx, s.old(rows))
		if len(rows) < pageRows {
			return
		}
		after = rows[len(rows)-1].Key
		pause(ctx, s.config.PageInterval)
	}
}

// old returns the rows that are past their retention. Wall clocks of VMs differ by far less than it.
func (s *Sweeper) old(rows []platform.Row) []platform.Row {
	limit := time.Now().Add(-s.config.Retention).Unix()
	var old []platform.Row
	for _, row := range rows {
		var record idempotency.Record
		if cbor.Unmarshal(row.Value, &record) == nil && record.CreatedUnix < limit {
			old = append(old, row)
		}
	}
	return old
}

// remove deletes rows unless they have changed. What fails is left to the next sweep.
func (s *Sweeper) remove(ctx context.Context, rows []platform.Row) {
	for start := 0; start < len(rows); start += maxDeletes {
		var txn platform.Txn
		for _, row := range rows[start:min(len(rows), start+maxDeletes)] {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
		if _, err := s.config.Table.Commit(ctx, txn); err == nil {
			s.removed.Add(len(txn.Writes))
		}
	}
}
