package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Options describe one run.
type Options struct {
	Profile Profile
	Policy  Policy
	// Seed seeds the generators of requests and bursts.
	Seed uint64
	// Duration is the time over which requests arrive.
	Duration time.Duration
	// Warmup is the time at the start whose requests are not counted.
	Warmup time.Duration
	// Faults makes one engine crash and kills one VM in the middle of the run.
	Faults bool
}

// engineOutage is the time until a crashed engine restarts.
const engineOutage = 20 * time.Second

// run is one experiment in progress.
type run struct {
	profile Profile
	options Options
	fleet   *fleet
	placer  placer
	backlog *backlog
}

// Run performs one run and returns its result. It returns when all online requests have ended.
func Run(ctx context.Context, o Options) Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{
		profile: o.Profile, options: o,
		fleet:   newFleet(ctx, o.Profile),
		backlog: &backlog{random: rand.New(rand.NewPCG(o.Seed, 3)), sizes: o.Profile.Batch},
	}
	r.startPolicy(ctx)
	started := time.Now()
	if o.Faults {
		time.AfterFunc(o.Duration/2, r.injectFaults)
	}
	var atWarmup BatchCounts
	time.AfterFunc(o.Warmup, func() { atWarmup = r.backlog.snapshot() })
	online := r.sendAll(started)
	time.Sleep(time.Until(started.Add(o.Duration)))
	counts := r.backlog.snapshot().minus(atWarmup)
	online.requests.Wait()
	return r.summarize(online.results, counts)
}

func (r *run) startPolicy(ctx context.Context) {
	slots := r.profile.Engine.Slots
	batchSlots := 0
	switch r.options.Policy {
	case FIFO:
		r.placer = newLeastInFlightPlacer(r.fleet)
		batchSlots = slots
	case StaticSplit:
		batchSlots = int(staticSplitBatchShare * float64(slots))
		r.placer = newPartitionPlacer(r.fleet, slots-batchSlots)
	default:
		r.placer = controllerPlacer{r.fleet}
	}
	for _, e := range r.fleet.engines {
		r.backlog.fill(ctx, e, batchSlots, r.profile.LocalDelay)
	}
	if r.options.Policy == Rosemarydyke || r.options.Policy == BatchOnly {
		for _, v := range r.fleet.vms {
			startWorker(v, r.backlog)
		}
	}
}

// injectFaults crashes an engine, which restarts after engineOutage, and kills a VM, which does not restart.
func (r *run) injectFaults() {
	e := r.fleet.engines[0]
	e.crash()
	time.AfterFunc(engineOutage, e.restart)
	r.fleet.killVM(1)
}

// onlineResults collects the results of online requests.
type onlineResults struct {
	requests sync.WaitGroup
	results  []onlineResult
}

// sendAll sends the online requests at their arrival times. It returns after sending the last one; the results are
// complete once requests.Wait returns.
func (r *run) sendAll(started time.Time) *onlineResults {
	if !r.options.Policy.hasOnline() {
		return &onlineResults{}
	}
	arrivals := r.profile.arrivals(r.options.Seed, r.options.Duration)
	collected := &onlineResults{results: make([]onlineResult, len(arrivals))}
	for i, arrival := range arrivals {
		time.Sleep(time.Until(started.Add(arrival.at)))
		collected.requests.Go(func() { collected.results[i] = r.sendOnline(arrival, i) })
	}
	return collected
}

func (b *backlog) snapshot() BatchCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

func (c BatchCounts) minus(o BatchCounts) BatchCounts {
	return BatchCounts{
		Items:                c.Items - o.Items,
		Tokens:               c.Tokens - o.Tokens,
		Preemptions:          c.Preemptions - o.Preemptions,
		TokensPrefilledAgain: c.TokensPrefilledAgain - o.TokensPrefilledAgain,
	}
}
