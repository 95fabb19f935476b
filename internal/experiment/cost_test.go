package experiment

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

// capacityDirectory is the environment variable that names where capacity measurements are written.
const capacityDirectory = "ROSEMARYDYKE_CAPACITY"

// Ratios of the fleet of two years from now: 830 targets and 8,200 requests a second for 360 entry VMs.
const (
	targetsPerVM  = 830.0 / 360
	requestsPerVM = 8200.0 / 360
)

const costRun = 30 * time.Second

// sizedProfile is a fleet of so many VMs with the ratios of two years from now. Its engines emit a
// sixteenth of the tokens in steps sixteen times as long, which holds slots for as long and costs less to emulate.
func sizedProfile(vms int) Profile {
	p := Profile{
		Name: "two years", VMs: vms, Zones: 4, Engines: max(1, int(float64(vms)*targetsPerVM)),
		Engine: batching.Config{
			Slots: 64, StepBase: 320 * time.Millisecond, StepPerSequence: 640 * time.Microsecond,
			StepPerPrefillToken: 10 * time.Microsecond, PrefillPerStep: 8192, CacheBlocks: 4096,
		},
		ZoneDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		BurstFactor: 1, BurstEvery: time.Hour, BurstLength: time.Second, Deadline: 5 * time.Second,
		Online: Shape{Prefix: 128, Clients: 12 * vms, PromptMin: 32, PromptMax: 256, OutputMean: 16},
		Batch:  Shape{Prefix: 96, Clients: 24, PromptMin: 50, PromptMax: 300, OutputMean: 16},
	}
	p.Load = 0.5
	p.Load *= requestsPerVM * float64(vms) / p.baseRate()
	return p
}

func TestWriteControlCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write the cost of control at several sizes")
		return
	}
	command := capacityDirectory + "=DIR go test -count=1 -run TestWriteControlCost ./internal/experiment"
	calls := capacity.Series{Name: "credit calls a second and entry VM", SizeUnit: "entry VMs", Command: command}
	bytes := capacity.Series{Name: "credit bytes a second and entry VM, without transport", SizeUnit: "entry VMs", Command: command}
	for _, vms := range []int{3, 9, 27, 81} {
		r := runInBubble(t, Options{Profile: sizedProfile(vms), Policy: Ours, Seed: 1, Length: costRun, Warmup: 5 * time.Second})
		perVM := costRun.Seconds() * float64(vms)
		calls.Points = append(calls.Points, capacity.Point{Size: float64(vms), Value: float64(r.Traffic.Calls) / perVM})
		bytes.Points = append(bytes.Points, capacity.Point{Size: float64(vms), Value: float64(r.Traffic.Bytes) / perVM})
		t.Logf("%d VMs: %d online, %d late, %d refused, %.1f calls/s and %.0f B/s each", vms, r.Online, r.Late, r.Refused,
			float64(r.Traffic.Calls)/perVM, float64(r.Traffic.Bytes)/perVM)
	}
	qt.Assert(t, capacity.Write(directory, "admission.json", []capacity.Series{calls, bytes}), qt.IsNil)
}
