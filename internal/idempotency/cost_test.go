package idempotency_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	records "github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

// slowTable delays each commit by latency, and counts commits and written rows.
type slowTable struct {
	platform.Table
	latency time.Duration
	commits atomic.Int64
	rows    atomic.Int64
}

func (t *slowTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	t.commits.Add(1)
	t.rows.Add(int64(len(txn.Writes)))
	time.Sleep(t.latency)
	return t.Table.Commit(ctx, txn)
}

// BenchmarkClaimAndFinish reports the table commits and written rows per request of one VM, by the number of concurrent requests.
func BenchmarkClaimAndFinish(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("requests=%d", parallel), func(b *testing.B) {
			table := &slowTable{Table: memory.New(), latency: 5 * time.Millisecond}
			ledger := idempotency.New(idempotency.Config{VM: "vm-1", Table: table})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go ledger.Run(ctx)
			var lastID atomic.Int64
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := strconv.FormatInt(lastID.Add(1), 10)
					claim, _, err := ledger.Begin(ctx, "coop", id, records.Fingerprint{}, id)
					if err != nil {
						b.Error(err)
						return
					}
					claim.Finish(records.Outcome{Status: 200, Body: []byte("{}")})
				}
			})
			ledger.Wait()
			b.ReportMetric(float64(table.commits.Load())/float64(b.N), "commits/request")
			b.ReportMetric(float64(table.rows.Load())/float64(b.N), "rows/request")
			b.ReportMetric(float64(table.commits.Load())/b.Elapsed().Seconds(), "commits/s")
		})
	}
}
