package idempotency_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	records "github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

func TestOnlyOldRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := memory.New()
		var shouldSweep atomic.Bool
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		ledger := idempotency.New(idempotency.Config{VM: "vm-1", Table: table})
		sweeper := idempotency.NewSweeper(idempotency.SweeperConfig{Table: table, ShouldSweep: shouldSweep.Load, Log: zerolog.Nop()})
		loops.Go(func() { ledger.Run(ctx) })
		finish := func(key string) {
			claim, _, err := ledger.Begin(ctx, "coop", key, records.Fingerprint{}, key)
			c.Assert(err, qt.IsNil)
			claim.Finish(records.Outcome{Status: 200})
			ledger.Wait()
		}
		for i := range 1500 {
			finish(fmt.Sprintf("old-%d", i))
		}
		time.Sleep(73 * time.Hour)
		finish("new")
		countRows := func() int {
			rows, err := table.Scan(ctx, "idempotency/", "", 10000)
			c.Assert(err, qt.IsNil)
			return len(rows)
		}
		loops.Go(func() { sweeper.Run(ctx) })
		time.Sleep(time.Hour)
		c.Assert(countRows(), qt.Equals, 1501)
		shouldSweep.Store(true)
		time.Sleep(time.Hour)
		c.Assert(countRows(), qt.Equals, 1)
		cancel()
		loops.Wait()
	})
}
