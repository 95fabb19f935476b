// Package experiment measures how sharing a fleet affects the latency of online requests and the throughput of
// batch work. It runs the admission controllers of all entry VMs against emulated engines in one process, under one
// of several policies and with a fixed seed.
//
// It uses the functions of package time directly, so that a test can run it in the virtual time of a synctest bubble.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

// Profile describes a fleet and its load.
type Profile struct {
	// Name identifies the profile in reports.
	Name string
	// VMs is the number of entry VMs, assigned to the availability zones round-robin.
	VMs int
	// Zones is the number of availability zones.
	Zones int
	// Engines is the number of engines, assigned to the availability zones round-robin.
	Engines int
	// Engine configures each engine.
	Engine batching.Config
	// ZoneDelay is the one-way delay between availability zones.
	ZoneDelay time.Duration
	// LocalDelay is the one-way delay within an availability zone.
	LocalDelay time.Duration
	// ClientDelay is the one-way delay between a caller and an entry.
	ClientDelay time.Duration
	// Load is the mean share of all slots that online requests occupy outside bursts, from 0 to 1.
	Load float64
	// BurstFactor multiplies the arrival rate during bursts.
	BurstFactor float64
	// BurstInterval is the mean time between bursts, BurstLength the duration of each.
	BurstInterval, BurstLength time.Duration
	// Deadline is the time within which the first token of an online request is due.
	Deadline time.Duration
	// Online and Batch are the sizes of online requests and batch items.
	Online, Batch RequestSizes
}

// RequestSizes describes the distribution of request sizes, in tokens.
type RequestSizes struct {
	// Prefix is the length of the prompt prefix that all requests of a client share.
	Prefix int
	// Clients is the number of clients.
	Clients int
	// PromptMin and PromptMax bound the length of the prompt after the shared prefix.
	PromptMin, PromptMax int
	// OutputMean is the mean length of the output.
	OutputMean int
}

// engineConfig has the step durations of a mid-sized model on one accelerator.
var engineConfig = batching.Config{
	Slots:               16,
	StepBase:            18 * time.Millisecond,
	StepPerSequence:     150 * time.Microsecond,
	StepPerPrefillToken: 40 * time.Microsecond,
	PrefillPerStep:      512,
	CacheBlocks:         4096,
}

// Cooperative returns the profile of a breakdown service: bursts of online calls and batches of long repair summaries
// at night.
func Cooperative() Profile {
	return Profile{
		Name: "cooperative", VMs: 9, Zones: 3, Engines: 10, Engine: engineConfig,
		ZoneDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		Load: 0.30, BurstFactor: 2.5, BurstInterval: 30 * time.Second, BurstLength: 6 * time.Second,
		Deadline: time.Second,
		Online:   RequestSizes{Prefix: 192, Clients: 6, PromptMin: 64, PromptMax: 320, OutputMean: 120},
		Batch:    RequestSizes{Prefix: 128, Clients: 2, PromptMin: 200, PromptMax: 800, OutputMean: 200},
	}
}

// Candado returns the profile of a booking assistant: short online questions and large batches of reminders at night.
func Candado() Profile {
	return Profile{
		Name: "candado", VMs: 12, Zones: 3, Engines: 20, Engine: engineConfig,
		ZoneDelay: 500 * time.Microsecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		Load: 0.20, BurstFactor: 3, BurstInterval: 40 * time.Second, BurstLength: 5 * time.Second,
		Deadline: time.Second,
		Online:   RequestSizes{Prefix: 128, Clients: 40, PromptMin: 32, PromptMax: 160, OutputMean: 60},
		Batch:    RequestSizes{Prefix: 96, Clients: 24, PromptMin: 50, PromptMax: 300, OutputMean: 120},
	}
}

// requestSize is the size of one request, in tokens, and the client that sends it.
type requestSize struct {
	client int
	prompt int
	output int
}

// draw returns a random request size. Output lengths are geometrically distributed, up to eight times the mean.
func (s RequestSizes) draw(random *rand.Rand) requestSize {
	output := 1 + int(random.ExpFloat64()*float64(s.OutputMean-1))
	return requestSize{
		client: random.IntN(s.Clients),
		prompt: s.PromptMin + random.IntN(s.PromptMax-s.PromptMin+1),
		output: min(output, 8*s.OutputMean),
	}
}

// stepTime returns the duration of a step with the given number of running sequences and no prefill.
func (p Profile) stepTime(sequences float64) time.Duration {
	return p.Engine.StepBase + time.Duration(sequences*float64(p.Engine.StepPerSequence))
}

// baseRate returns the arrival rate outside bursts, in requests per second, at which online requests occupy the share
// Load of all slots.
func (p Profile) baseRate() float64 {
	slots := float64(p.Engines * p.Engine.Slots)
	requestTime := p.stepTime(p.Load*float64(p.Engine.Slots)) * time.Duration(p.Online.OutputMean)
	return p.Load * slots / requestTime.Seconds()
}

// arrival is one online request.
type arrival struct {
	at   time.Duration
	size requestSize
	vm   int
}

// arrivals generates the online requests of a run: a Poisson process whose rate rises during bursts.
func (p Profile) arrivals(seed uint64, duration time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	bursts := p.bursts(seed, duration)
	base := p.baseRate()
	peak := base * math.Max(1, p.BurstFactor)
	var arrivals []arrival
	var at time.Duration
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		// Thinning turns a process with the peak rate into one with a varying rate (Lewis and Shedler 1979).
		if !p.inBurst(bursts, at) && random.Float64() > base/peak {
			continue
		}
		arrivals = append(arrivals, arrival{at: at, size: p.Online.draw(random), vm: random.IntN(p.VMs)})
	}
}

func (p Profile) bursts(seed uint64, duration time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 2))
	var starts []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration((0.5 + random.Float64()) * float64(p.BurstInterval))
		if at >= duration {
			return starts
		}
		starts = append(starts, at)
		at += p.BurstLength
	}
}

// inBurst reports whether the time at lies within a burst.
func (p Profile) inBurst(starts []time.Duration, at time.Duration) bool {
	for _, start := range starts {
		if at >= start && at < start+p.BurstLength {
			return true
		}
	}
	return false
}
