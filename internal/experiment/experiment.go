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
	// Seed draws the requests and the bursts.
	Seed uint64
	// Length is the time over which requests arrive.
	Length time.Duration
	// Warmup is the time at the start whose requests are not counted.
	Warmup time.Duration
	// Faults crashes one engine and kills one VM in the middle of the run.
	Faults bool
}

// engineOutage is the time for which the crashed engine is down.
const engineOutage = 20 * time.Second

// run is one experiment in progress.
type run struct {
	profile Profile
	options Options
	fleet   *fleet
	placer  placer
	backlog *backlog
}

// Run carries out one run and sums it up. It returns when all online requests have ended.
func Run(ctx context.Context, o Options) Result {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{
		profile: o.Profile, options: o,
		fleet:   newFleet(ctx, o.Profile),
		backlog: &backlog{random: rand.New(rand.NewPCG(o.Seed, 3)), shape: o.Profile.Batch},
	}
	r.startPolicy(ctx)
	began := time.Now()
	if o.Faults {
		time.AfterFunc(o.Length/2, r.fault)
	}
	var before BatchCounts
	time.AfterFunc(o.Warmup, func() { before = r.backlog.snapshot() })
	answers := r.sendAll(began)
	time.Sleep(time.Until(began.Add(o.Length)))
	counts := r.backlog.snapshot().minus(before)
	answers.wait.Wait()
	return r.summarize(answers.all, counts)
}

func (r *run) startPolicy(ctx context.Context) {
	slots := r.profile.Engine.Slots
	batchSlots := 0
	switch r.options.Policy {
	case FIFO:
		r.placer = newUncontrolled(r.fleet)
		batchSlots = slots
	case Split:
		batchSlots = int(splitShare * float64(slots))
		r.placer = newPartitioned(r.fleet, slots-batchSlots)
	default:
		r.placer = controlled{r.fleet}
	}
	for _, e := range r.fleet.engines {
		r.backlog.fill(ctx, e, batchSlots, r.profile.LocalDelay)
	}
	if r.options.Policy == Ours || r.options.Policy == BatchAlone {
		for _, v := range r.fleet.vms {
			startWorker(v, r.backlog)
		}
	}
}

// fault crashes an engine for a while and kills a VM for good.
func (r *run) fault() {
	e := r.fleet.engines[0]
	e.crash()
	time.AfterFunc(engineOutage, e.restart)
	r.fleet.lose(1)
}

// answers collects what callers saw.
type answers struct {
	wait sync.WaitGroup
	all  []answer
}

// sendAll sends the online requests at their times. It returns after the last was sent.
func (r *run) sendAll(began time.Time) *answers {
	if !r.options.Policy.hasOnline() {
		return &answers{}
	}
	arrivals := r.profile.arrivals(r.options.Seed, r.options.Length)
	a := &answers{all: make([]answer, len(arrivals))}
	for i, arrival := range arrivals {
		time.Sleep(time.Until(began.Add(arrival.at)))
		a.wait.Go(func() { a.all[i] = r.online(arrival, i) })
	}
	return a
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
		TokensWasted:         c.TokensWasted - o.TokensWasted,
		TokensPrefilledAgain: c.TokensPrefilledAgain - o.TokensPrefilledAgain,
	}
}
