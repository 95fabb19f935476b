// Package experiment measures what sharing a fleet costs online requests and brings batch work. It runs
// the admission controllers of all entry VMs against emulated engines in one process, under one of
// several policies and one seed.
//
// It reads the ordinary clock and sleeps, so that a test can run it in virtual time.
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
	// VMs is the number of entry VMs, spread over the availability zones in turn.
	VMs int
	// Zones is the number of availability zones.
	Zones int
	// Engines is the number of targets, spread over the availability zones in turn.
	Engines int
	// Engine is the speed and size of each engine.
	Engine batching.Config
	// ZoneDelay is the one-way delay between availability zones.
	ZoneDelay time.Duration
	// LocalDelay is the one-way delay within an availability zone.
	LocalDelay time.Duration
	// ClientDelay is the one-way delay between a caller and an entry.
	ClientDelay time.Duration
	// Load is the mean share of all slots that online requests use outside bursts.
	Load float64
	// BurstFactor multiplies the arrival rate during bursts.
	BurstFactor float64
	// BurstEvery is the mean time between bursts, BurstLength the length of each.
	BurstEvery, BurstLength time.Duration
	// Deadline is the time in which the first token of an online request is due.
	Deadline time.Duration
	// Online and Batch describe the requests.
	Online, Batch Shape
}

// Shape describes the sizes of requests, in tokens.
type Shape struct {
	// Prefix is the length of the prompt part that the requests of a client share.
	Prefix int
	// Clients is the number of clients.
	Clients int
	// PromptMin and PromptMax bound the prompt's own part.
	PromptMin, PromptMax int
	// OutputMean is the mean length of the answer.
	OutputMean int
}

// engineConfig has the step times of a mid-sized model on one accelerator.
var engineConfig = batching.Config{
	Slots:               16,
	StepBase:            18 * time.Millisecond,
	StepPerSequence:     150 * time.Microsecond,
	StepPerPrefillToken: 40 * time.Microsecond,
	PrefillPerStep:      512,
	CacheBlocks:         4096,
}

// Cooperative is the load of the breakdown desk: calls in bursts, long repair summaries at night.
func Cooperative() Profile {
	return Profile{
		Name: "cooperative", VMs: 9, Zones: 3, Engines: 10, Engine: engineConfig,
		ZoneDelay: time.Millisecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		Load: 0.30, BurstFactor: 2.5, BurstEvery: 30 * time.Second, BurstLength: 6 * time.Second,
		Deadline: time.Second,
		Online:   Shape{Prefix: 192, Clients: 6, PromptMin: 64, PromptMax: 320, OutputMean: 120},
		Batch:    Shape{Prefix: 128, Clients: 2, PromptMin: 200, PromptMax: 800, OutputMean: 200},
	}
}

// Candado is the load of the booking assistant: short questions, large runs of reminders at night.
func Candado() Profile {
	return Profile{
		Name: "candado", VMs: 12, Zones: 3, Engines: 20, Engine: engineConfig,
		ZoneDelay: 500 * time.Microsecond, LocalDelay: 200 * time.Microsecond, ClientDelay: time.Millisecond,
		Load: 0.20, BurstFactor: 3, BurstEvery: 40 * time.Second, BurstLength: 5 * time.Second,
		Deadline: time.Second,
		Online:   Shape{Prefix: 128, Clients: 40, PromptMin: 32, PromptMax: 160, OutputMean: 60},
		Batch:    Shape{Prefix: 96, Clients: 24, PromptMin: 50, PromptMax: 300, OutputMean: 120},
	}
}

// size is the size of one request.
type size struct {
	client int
	prompt int
	output int
}

// draw returns the size of a request. Answers have a geometric length.
func (s Shape) draw(random *rand.Rand) size {
	output := 1 + int(random.ExpFloat64()*float64(s.OutputMean-1))
	return size{
		client: random.IntN(s.Clients),
		prompt: s.PromptMin + random.IntN(s.PromptMax-s.PromptMin+1),
		output: min(output, 8*s.OutputMean),
	}
}

// stepTime is the duration of a step with so many running sequences and no prefill.
func (p Profile) stepTime(sequences float64) time.Duration {
	return p.Engine.StepBase + time.Duration(sequences*float64(p.Engine.StepPerSequence))
}

// baseRate returns the arrivals per second outside bursts that use the share Load of all slots.
func (p Profile) baseRate() float64 {
	slots := float64(p.Engines * p.Engine.Slots)
	service := p.stepTime(p.Load*float64(p.Engine.Slots)) * time.Duration(p.Online.OutputMean)
	return p.Load * slots / service.Seconds()
}

// arrival is one online request.
type arrival struct {
	at   time.Duration
	size size
	vm   int
}

// arrivals draws the online requests of a run: a Poisson process whose rate rises in bursts.
func (p Profile) arrivals(seed uint64, length time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	bursts := p.bursts(seed, length)
	base := p.baseRate()
	peak := base * math.Max(1, p.BurstFactor)
	var all []arrival
	var at time.Duration
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= length {
			return all
		}
		// Thinning turns the process at peak rate into one with a varying rate (Lewis and Shedler 1979).
		if !p.inBurst(bursts, at) && random.Float64() > base/peak {
			continue
		}
		all = append(all, arrival{at: at, size: p.Online.draw(random), vm: random.IntN(p.VMs)})
	}
}

func (p Profile) bursts(seed uint64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 2))
	var starts []time.Duration
	for at := time.Duration(0); ; {
		at += time.Duration((0.5 + random.Float64()) * float64(p.BurstEvery))
		if at >= length {
			return starts
		}
		starts = append(starts, at)
		at += p.BurstLength
	}
}

// inBurst reports whether a burst runs at the time at.
func (p Profile) inBurst(starts []time.Duration, at time.Duration) bool {
	for _, start := range starts {
		if at >= start && at < start+p.BurstLength {
			return true
		}
	}
	return false
}
