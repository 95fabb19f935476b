package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportDirectory is the environment variable with the directory for the report of the long runs.
const reportDirectory = "ROSEMARYDYKE_REPORT"

// Lengths of runs, in virtual time.
const (
	shortRun = 120 * time.Second
	longRun  = 600 * time.Second
	warmup   = 10 * time.Second
)

var policies = []Policy{OnlineOnly, BatchOnly, FIFO, StaticSplit, Rosemarydyke}

// runInBubble performs one run in virtual time, in a synctest bubble.
func runInBubble(t *testing.T, o Options) (result Result) {
	synctest.Test(t, func(t *testing.T) {
		result = Run(t.Context(), o)
		// Wait until calls in progress have timed out.
		time.Sleep(time.Minute)
	})
	return result
}

func compare(t *testing.T, p Profile, seed uint64, duration time.Duration, faults bool) Comparison {
	c := Comparison{Profile: p.Name, Seed: seed, Faults: faults}
	for _, policy := range policies {
		c.Results = append(c.Results, runInBubble(t, Options{
			Profile: p, Policy: policy, Seed: seed, Duration: duration, Warmup: warmup, Faults: faults,
		}))
	}
	return c
}

func logReport(t *testing.T, r Report) {
	if err := r.WriteTable(t.Output()); err != nil {
		t.Fatal(err)
	}
}

func TestNaivePoliciesMissTheLatencyOrUtilizationObjective(t *testing.T) {
	c := compare(t, Cooperative(), 1, shortRun, false)
	logReport(t, Report{Comparisons: []Comparison{c}})
	for _, naive := range []Policy{FIFO, StaticSplit} {
		missed := c.FirstTokenRatio(naive) > MaxFirstTokenRatio || c.IdleShare(naive) < MinIdleShare
		qt.Assert(t, missed, qt.IsTrue, qt.Commentf("%s meets both objectives, so the objectives do not distinguish policies", naive))
	}
	result := c.result(Rosemarydyke)
	qt.Assert(t, result.Failed, qt.Equals, 0)
	qt.Assert(t, result.Late, qt.Equals, 0)
}

func TestAnEngineCrashAndAKilledVMFailNoOnlineRequest(t *testing.T) {
	r := runInBubble(t, Options{Profile: Cooperative(), Policy: Rosemarydyke, Seed: 1, Duration: shortRun, Warmup: warmup, Faults: true})
	qt.Assert(t, r.Failed, qt.Equals, 0)
}

func TestWriteReport(t *testing.T) {
	directory := os.Getenv(reportDirectory)
	if directory == "" {
		t.Log("set " + reportDirectory + " to write the report of the long runs")
		return
	}
	var report Report
	for _, profile := range []Profile{Cooperative(), Candado()} {
		for _, faults := range []bool{false, true} {
			report.Comparisons = append(report.Comparisons, compare(t, profile, 1, longRun, faults))
		}
	}
	logReport(t, report)
	qt.Assert(t, report.WriteFile(filepath.Join(directory, "report.json")), qt.IsNil)
}
