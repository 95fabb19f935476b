package callerapi_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

const (
	// capacityDirectory is the environment variable that names where capacity measurements are written.
	capacityDirectory = "ROSEMARYDYKE_CAPACITY"
	// costRequests is the number of requests over which the processor time of one is averaged.
	costRequests = 200
)

// processorTime returns the processor time that this process has used.
func processorTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestWriteEntryCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write what a streamed completion costs an entry at several lengths")
		return
	}
	c := qt.New(t)
	series := capacity.Series{
		Name:     "processor time of a streamed completion, caller and target of the test included, microseconds",
		SizeUnit: "tokens",
		Command:  capacityDirectory + "=DIR go test -count=1 -run TestWriteEntryCost ./internal/callerapi",
	}
	for _, tokens := range []int{10, 100, 400, 1000} {
		f := newFixture(t, "vm-1", memory.New(), nil, benchmarkTarget(tokens))
		before := processorTime(c)
		for range costRequests {
			got := f.send(t, "POST", chat, streamBody, nil)
			c.Assert(got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "completed")
		}
		spent := processorTime(c) - before
		series.Points = append(series.Points, capacity.Point{Size: float64(tokens), Value: float64(spent.Microseconds()) / costRequests})
	}
	t.Logf("%+v", series.Points)
	c.Assert(capacity.Write(directory, "entry.json", []capacity.Series{series}), qt.IsNil)
}
