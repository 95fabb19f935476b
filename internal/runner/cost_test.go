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
	// capacityDirectory is the environment variable that names where capacity measurements are written.
	capacityDirectory = "ROSEMARYDYKE_CAPACITY"
	// costJobItems is the mean size of a job in two years: 140 million items in 4,600 jobs.
	costJobItems = 30_400
	// costWarmUp and costTime are simulated.
	costWarmUp = time.Minute
	costTime   = 2 * time.Minute
	// costSlots and costItemTime give 4.5 items a second for each runner, the rate of 140 million a day on 360 VMs.
	costSlots    = 9
	costItemTime = 2 * time.Second
)

// counts counts the calls and rows of a platform.
type counts struct {
	reads, rowsRead, writes, rowsWritten, puts, gets atomic.Int64
}

func (c *counts) values() [6]int64 {
	return [6]int64{c.reads.Load(), c.rowsRead.Load(), c.writes.Load(), c.rowsWritten.Load(), c.puts.Load(), c.gets.Load()}
}

type countedTable struct {
	platform.Table
	*counts
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
	*counts
}

func (o countedObjects) Put(ctx context.Context, name string, content []byte) error {
	o.puts.Add(1)
	return o.Objects.Put(ctx, name, content)
}

func (o countedObjects) Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	o.gets.Add(1)
	return o.Objects.Get(ctx, name, offset, length)
}

// costOf runs a fleet and returns the platform's calls and the items answered in costTime.
func costOf(t *testing.T, runners int) (delta [6]int64, items int) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		c := new(counts)
		store := jobstore.New(countedTable{p, c}, countedObjects{p.Objects(), c})
		for range runners/20 + 1 {
			createJob(t, store, costJobItems, plainLine)
		}
		work := &fakeItems{delay: costItemTime, dispatches: map[string]int{}}
		for range runners {
			r := newTestRunner(store, &fakeEntry{limit: costSlots}, work)
			r.config.Members = func() int { return runners }
			defer start(r)()
		}
		time.Sleep(costWarmUp)
		before, done := c.values(), work.total()
		time.Sleep(costTime)
		delta, items = c.values(), work.total()-done
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
		delta, items := costOf(t, runners)
		line := fmt.Sprintf("%3d runners, %6d items:", runners, items)
		for i, n := range delta {
			line += fmt.Sprintf(" %s %.1f,", names[i], float64(n)*1000/float64(items))
			series[i].Points = append(series[i].Points, capacity.Point{Size: float64(runners), Value: float64(n) / costTime.Seconds()})
		}
		t.Log(line + " each per 1000 items")
	}
	qt.Assert(t, capacity.Write(directory, "batch.json", series), qt.IsNil)
}
