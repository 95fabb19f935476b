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
	// capacityDirEnv is the environment variable that names the directory for capacity measurements.
	capacityDirEnv = "ROSEMARYDYKE_CAPACITY"
	// costRequests is the number of requests over which CPU time is averaged.
	costRequests = 200
)

// cpuTime returns the user and system CPU time of this process.
func cpuTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestWriteEntryCost(t *testing.T) {
	directory := os.Getenv(capacityDirEnv)
	if directory == "" {
		t.Log("set " + capacityDirEnv + " to measure the CPU time of streamed completions of several lengths")
		return
	}
	c := qt.New(t)
	series := capacity.Series{
		Name:     "processor time of a streamed completion, caller and target of the test included, microseconds",
		SizeUnit: "tokens",
		Command:  capacityDirEnv + "=DIR go test -count=1 -run TestWriteEntryCost ./internal/callerapi",
	}
	for _, tokens := range []int{10, 100, 400, 1000} {
		f := newFixture(t, "vm-1", memory.New(), nil, benchmarkTarget(tokens))
		before := cpuTime(c)
		for range costRequests {
			got := f.send(t, "POST", chat, streamBody, nil)
			c.Assert(got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "completed")
		}
		used := cpuTime(c) - before
		series.Points = append(series.Points, capacity.Point{Size: float64(tokens), Value: float64(used.Microseconds()) / costRequests})
	}
	t.Logf("%+v", series.Points)
	c.Assert(capacity.Write(directory, "entry.json", []capacity.Series{series}), qt.IsNil)
}
