package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
)

// Policy is a policy for sharing the engines between online requests and batch items.
type Policy string

// Policies.
const (
	// OnlineOnly uses the admission controller, without batch work.
	OnlineOnly Policy = "online alone"
	// BatchOnly uses the admission controller, without online requests.
	BatchOnly Policy = "batch alone"
	// FIFO sends all requests to the engines as they arrive; batch work keeps all slots filled.
	FIFO Policy = "naive FIFO"
	// StaticSplit reserves half of each engine's slots for batch work.
	StaticSplit Policy = "static split"
	// Rosemarydyke uses the admission controller for online requests and batch work.
	Rosemarydyke Policy = "rosemarydyke"
)

// hasOnline reports whether the policy is measured with online requests.
func (p Policy) hasOnline() bool { return p != BatchOnly }

// staticSplitBatchShare is the share of each engine's slots that StaticSplit reserves for batch work.
const staticSplitBatchShare = 0.5

// slot is the right to run one request on an engine.
type slot struct {
	engine  *engine
	release func(admission.Outcome)
}

// placer assigns slots to online requests.
type placer interface {
	place(ctx context.Context, v *vm, a arrival, id int, deadline time.Time, tried []string) (slot, error)
}

// controllerPlacer acquires slots from the VM's admission controller.
type controllerPlacer struct{ fleet *fleet }

func (c controllerPlacer) place(ctx context.Context, v *vm, a arrival, id int, deadline time.Time, tried []string) (slot, error) {
	prefix := uint64(a.size.client + 1)
	grant, err := v.Acquire(ctx, admission.Request{
		ID: fmt.Sprintf("%s.%d", v.self.VM, id), Client: fmt.Sprintf("client-%d", a.size.client), Model: modelName,
		Deadline: deadline, Fingerprint: uint64(id) + 1, PrefixBlocks: prefixBlocks(prefix, c.fleet.profile.Online.Prefix), Tried: tried,
	})
	if err != nil {
		return slot{}, err
	}
	return slot{engine: c.fleet.byName[grant.Target.Name], release: grant.Release}, nil
}

// leastInFlightPlacer assigns each request without waiting to the engine with the fewest requests in flight from the
// same VM.
type leastInFlightPlacer struct {
	fleet *fleet
	mu    sync.Mutex
	// inFlight counts the requests in flight by VM and engine.
	inFlight map[*vm]map[*engine]int
	next     int
}

func newLeastInFlightPlacer(f *fleet) *leastInFlightPlacer {
	return &leastInFlightPlacer{fleet: f, inFlight: map[*vm]map[*engine]int{}}
}

func (p *leastInFlightPlacer) place(_ context.Context, v *vm, _ arrival, _ int, _ time.Time, tried []string) (slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[v] == nil {
		p.inFlight[v] = map[*engine]int{}
	}
	p.next++
	var best *engine
	for i := range p.fleet.engines {
		e := p.fleet.engines[(p.next+i)%len(p.fleet.engines)]
		if contains(tried, e.name) {
			continue
		}
		if best == nil || p.inFlight[v][e] < p.inFlight[v][best] {
			best = e
		}
	}
	p.inFlight[v][best]++
	return slot{engine: best, release: func(admission.Outcome) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[v][best]--
	}}, nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// partitionPlacer assigns requests to a fixed part of each engine's slots, first come, first served. It has a global
// view of all VMs, which a real implementation would not have, so its results are optimistic.
type partitionPlacer struct {
	fleet *fleet
	mu    sync.Mutex
	free  map[*engine]int
	queue []chan *engine
}

func newPartitionPlacer(f *fleet, slots int) *partitionPlacer {
	p := &partitionPlacer{fleet: f, free: map[*engine]int{}}
	for _, e := range f.engines {
		p.free[e] = slots
	}
	return p
}

func (p *partitionPlacer) place(ctx context.Context, _ *vm, _ arrival, _ int, _ time.Time, _ []string) (slot, error) {
	assigned := make(chan *engine, 1)
	p.mu.Lock()
	p.queue = append(p.queue, assigned)
	p.assign()
	p.mu.Unlock()
	select {
	case e := <-assigned:
		return slot{engine: e, release: func(admission.Outcome) { p.release(e) }}, nil
	case <-ctx.Done():
		return slot{}, ctx.Err()
	}
}

func (p *partitionPlacer) release(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free[e]++
	p.assign()
}

// assign assigns free slots to queued requests, from the engine with the most free slots first.
func (p *partitionPlacer) assign() {
	for len(p.queue) > 0 {
		var best *engine
		for _, e := range p.fleet.engines {
			if p.free[e] > 0 && (best == nil || p.free[e] > p.free[best]) {
				best = e
			}
		}
		if best == nil {
			return
		}
		p.free[best]--
		p.queue[0] <- best
		p.queue = p.queue[1:]
	}
}
