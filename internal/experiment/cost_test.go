package experiment

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

// capacityDirectory is the environment variable with the directory for capacity measurements.
const capacityDirectory = "ROSEMARYDYKE_CAPACITY"

// Ratios of the fleet size forecast for two years from now: 830 targets and 8,200 requests per second for 360 entry VMs.
const (
	targetsPerVM  = 830.0 / 360
	requestsPerVM = 8200.0 / 360
)

const costRunDuration = 30 * time.Second

// forecastProfile returns the profile of a fleet of the given number of VMs with the forecast ratios. Its engines emit
// a sixteenth of the tokens in steps that take sixteen times as long: requests hold their slots for the same time and
// cost less to emulate.
func forecastProfile(vms int) Profile {
	p := Profile{
		Name: "two years", VMs: vms, Zones: 4, Engines: max(1, int(float64(vms)*targetsPerVM)),
		Engine: batching.Config{
			Slots: 64, StepBase: 320 * time.Millisecond, StepPerSequence: 640 * time.Microsecond,
			StepPerPrefillToken: 10 * time.Microsecond, PrefillPerStep: 8192, CacheBlocks: 4096,
		},
		ZoneDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		BurstFactor: 1, BurstInterval: time.Hour, BurstLength: time.Second, Deadline: 5 * time.Second,
		Online: RequestSizes{Prefix: 128, Clients: 12 * vms, PromptMin: 32, PromptMax: 256, OutputMean: 16},
		Batch:  RequestSizes{Prefix: 96, Clients: 24, PromptMin: 50, PromptMax: 300, OutputMean: 16},
	}
	p.Load = 0.5
	p.Load *= requestsPerVM * float64(vms) / p.baseRate()
	return p
}

func TestWriteControlCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to measure the traffic between entries at several fleet sizes")
		return
	}
	command := capacityDirectory + "=DIR go test -count=1 -run TestWriteControlCost ./internal/experiment"
	calls := capacity.Series{Name: "credit calls a second and entry VM", SizeUnit: "entry VMs", Command: command}
	bytes := capacity.Series{Name: "credit bytes a second and entry VM, without transport", SizeUnit: "entry VMs", Command: command}
	for _, vms := range []int{3, 9, 27, 81} {
		r := runInBubble(t, Options{Profile: forecastProfile(vms), Policy: Rosemarydyke, Seed: 1, Duration: costRunDuration, Warmup: 5 * time.Second})
		perVM := costRunDuration.Seconds() * float64(vms)
		calls.Points = append(calls.Points, capacity.Point{Size: float64(vms), Value: float64(r.Traffic.Calls) / perVM})
		bytes.Points = append(bytes.Points, capacity.Point{Size: float64(vms), Value: float64(r.Traffic.Bytes) / perVM})
		t.Logf("%d VMs: %d online, %d late, %d refused, %.1f calls/s and %.0f B/s each", vms, r.Online, r.Late, r.Refused,
			float64(r.Traffic.Calls)/perVM, float64(r.Traffic.Bytes)/perVM)
	}
	qt.Assert(t, capacity.Write(directory, "admission.json", []capacity.Series{calls, bytes}), qt.IsNil)
}
