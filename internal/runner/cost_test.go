package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

const (
	// capacityDirectory is the environment variable that holds the directory for capacity measurements.
	capacityDirectory = "ROSEMARYDYKE_CAPACITY"
	// costJobItems is the mean number of items per job that is expected in two years: 140 million items in 4,600 jobs.
	costJobItems = 30_400
	// costWarmUp and costDuration are simulated time.
	costWarmUp   = time.Minute
	costDuration = 2 * time.Minute
	// costSlots and costItemDuration give 4.5 items per second and runner, the rate of 140 million items per day on 360 VMs.
	costSlots        = 9
	costItemDuration = 2 * time.Second
)

// callCounts counts the calls to the platform and the rows that they read and wrote.
type callCounts struct {
	reads, rowsRead, writes, rowsWritten, puts, gets atomic.Int64
}

func (c *callCounts) values() [6]int64 {
	return [6]int64{c.reads.Load(), c.rowsRead.Load(), c.writes.Load(), c.rowsWritten.Load(), c.puts.Load(), c.gets.Load()}
}

type countedTable struct {
	platform.Table
	*callCounts
}

func (t countedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	t.reads.Add(1)
	t.rowsRead.Add(int64(len(keys)))
	return t.Table.Get(ctx, keys...)
}

func (t countedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.reads.Add(1)
	t.rowsRead.Add(int64(len(rows)))
	return rows, err
}

func (t countedTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	t.writes.Add(1)
	t.rowsWritten.Add(int64(len(txn.Writes)))
	return t.Table.Commit(ctx, txn)
}

type countedObjects struct {
	platform.Objects
	*callCounts
}

func (o countedObjects) Put(ctx context.Context, name string, content []byte) error {
	o.puts.Add(1)
	return o.Objects.Put(ctx, name, content)
}

func (o countedObjects) Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	o.gets.Add(1)
	return o.Objects.Get(ctx, name, offset, length)
}

// measureCost runs a fleet and returns the calls to the platform and the items dispatched during costDuration.
func measureCost(t *testing.T, runners int) (delta [6]int64, items int) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		c := new(callCounts)
		store := jobstore.New(countedTable{p, c}, countedObjects{p.Objects(), c})
		for range runners/20 + 1 {
			createJob(t, store, costJobItems, plainLine)
		}
		itemRunner := &fakeItems{delay: costItemDuration, dispatches: map[string]int{}}
		for range runners {
			r := newTestRunner(store, &fakeEntry{limit: costSlots}, itemRunner)
			r.config.Members = func() int { return runners }
			defer startRunner(r)()
		}
		time.Sleep(costWarmUp)
		before, itemsBefore := c.values(), itemRunner.totalDispatches()
		time.Sleep(costDuration)
		delta, items = c.values(), itemRunner.totalDispatches()-itemsBefore
		for i := range delta {
			delta[i] -= before[i]
		}
	})
	return delta, items
}

func TestWriteBatchCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write the platform calls of batch work at several sizes")
		return
	}
	command := capacityDirectory + "=DIR go test -count=1 -run TestWriteBatchCost ./internal/runner"
	names := [6]string{"table reads", "table rows read", "table transactions", "table rows written", "object puts", "object gets"}
	var series []capacity.Series
	for _, name := range names {
		series = append(series, capacity.Series{Name: name + " by batch work, per second", SizeUnit: "entry VMs", Command: command})
	}
	for _, runners := range []int{9, 27, 81, 360} {
		delta, items := measureCost(t, runners)
		line := fmt.Sprintf("%3d runners, %6d items:", runners, items)
		for i, n := range delta {
			line += fmt.Sprintf(" %s %.1f,", names[i], float64(n)*1000/float64(items))
			series[i].Points = append(series[i].Points, capacity.Point{Size: float64(runners), Value: float64(n) / costDuration.Seconds()})
		}
		t.Log(line + " each per 1000 items")
	}
	qt.Assert(t, capacity.Write(directory, "batch.json", series), qt.IsNil)
}
