package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportDirectory is the environment variable that names where the long runs write their report.
const reportDirectory = "ROSEMARYDYKE_REPORT"

// Lengths of runs, in virtual time.
const (
	shortRun = 120 * time.Second
	longRun  = 600 * time.Second
	warmup   = 10 * time.Second
)

var policies = []Policy{Alone, BatchAlone, FIFO, Split, Ours}

// runInBubble carries out one run in virtual time.
func runInBubble(t *testing.T, o Options) (result Result) {
	synctest.Test(t, func(t *testing.T) {
		result = Run(t.Context(), o)
		// Calls in progress end by their timeouts.
		time.Sleep(time.Minute)
	})
	return result
}

func compare(t *testing.T, p Profile, seed uint64, length time.Duration, faults bool) Comparison {
	c := Comparison{Profile: p.Name, Seed: seed, Faults: faults}
	for _, policy := range policies {
		c.Results = append(c.Results, runInBubble(t, Options{
			Profile: p, Policy: policy, Seed: seed, Length: length, Warmup: warmup, Faults: faults,
		}))
	}
	return c
}

func logReport(t *testing.T, r Report) {
	if err := r.WriteTable(t.Output()); err != nil {
		t.Fatal(err)
	}
}

func TestNaivePoliciesMissTheTargets(t *testing.T) {
	c := compare(t, Cooperative(), 1, shortRun, false)
	logReport(t, Report{Comparisons: []Comparison{c}})
	for _, naive := range []Policy{FIFO, Split} {
		missed := c.FirstTokenRatio(naive) > MaxFirstTokenRatio || c.IdleShare(naive) < MinIdleShare
		qt.Assert(t, missed, qt.IsTrue, qt.Commentf("%s meets both targets, so they tell nothing", naive))
	}
	ours := c.result(Ours)
	qt.Assert(t, ours.Failed, qt.Equals, 0)
	qt.Assert(t, ours.Late, qt.Equals, 0)
}

func TestACrashedEngineAndALostVMFailNoOnlineRequest(t *testing.T) {
	r := runInBubble(t, Options{Profile: Cooperative(), Policy: Ours, Seed: 1, Length: shortRun, Warmup: warmup, Faults: true})
	qt.Assert(t, r.Failed, qt.Equals, 0)
}

func TestWriteReport(t *testing.T) {
	directory := os.Getenv(reportDirectory)
	if directory == "" {
		t.Log("set " + reportDirectory + " to write the long runs' report")
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
