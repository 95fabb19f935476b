package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
)

// Policy is a way to share the engines between online requests and batch items.
type Policy string

// Policies.
const (
	// Alone runs our admission without any batch work.
	Alone Policy = "online alone"
	// BatchAlone runs our admission with batch work only.
	BatchAlone Policy = "batch alone"
	// FIFO sends all requests to the engines as they come; batch work keeps all slots filled.
	FIFO Policy = "naive FIFO"
	// Split reserves half of each engine's slots for batch work.
	Split Policy = "static split"
	// Ours runs our admission with batch work.
	Ours Policy = "rosemarydyke"
)

// hasOnline reports whether the policy is measured with online requests.
func (p Policy) hasOnline() bool { return p != BatchAlone }

// splitShare is the part of each engine's slots that Split gives to batch work.
const splitShare = 0.5

// slot is the right to run one request.
type slot struct {
	engine  *engine
	release func(admission.Outcome)
}

// placer gives slots to online requests.
type placer interface {
	place(ctx context.Context, v *vm, a arrival, id int, deadline time.Time, tried []string) (slot, error)
}

// controlled places requests by the VM's controller.
type controlled struct{ fleet *fleet }

func (c controlled) place(ctx context.Context, v *vm, a arrival, id int, deadline time.Time, tried []string) (slot, error) {
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

// uncontrolled sends each request at once to the engine that its VM has the fewest requests on.
type uncontrolled struct {
	fleet *fleet
	mu    sync.Mutex
	// inFlight counts by VM and engine.
	inFlight map[*vm]map[*engine]int
	next     int
}

func newUncontrolled(f *fleet) *uncontrolled {
	return &uncontrolled{fleet: f, inFlight: map[*vm]map[*engine]int{}}
}

func (u *uncontrolled) place(_ context.Context, v *vm, _ arrival, _ int, _ time.Time, tried []string) (slot, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight[v] == nil {
		u.inFlight[v] = map[*engine]int{}
	}
	u.next++
	var best *engine
	for i := range u.fleet.engines {
		e := u.fleet.engines[(u.next+i)%len(u.fleet.engines)]
		if contains(tried, e.name) {
			continue
		}
		if best == nil || u.inFlight[v][e] < u.inFlight[v][best] {
			best = e
		}
	}
	u.inFlight[v][best]++
	return slot{engine: best, release: func(admission.Outcome) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.inFlight[v][best]--
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

// partitioned places requests on a fixed part of each engine's slots, first come first served. It
// knows the state of all VMs, which favours it.
type partitioned struct {
	fleet *fleet
	mu    sync.Mutex
	free  map[*engine]int
	queue []chan *engine
}

func newPartitioned(f *fleet, slots int) *partitioned {
	p := &partitioned{fleet: f, free: map[*engine]int{}}
	for _, e := range f.engines {
		p.free[e] = slots
	}
	return p
}

func (p *partitioned) place(ctx context.Context, _ *vm, _ arrival, _ int, _ time.Time, _ []string) (slot, error) {
	wait := make(chan *engine, 1)
	p.mu.Lock()
	p.queue = append(p.queue, wait)
	p.match()
	p.mu.Unlock()
	select {
	case e := <-wait:
		return slot{engine: e, release: func(admission.Outcome) { p.put(e) }}, nil
	case <-ctx.Done():
		return slot{}, ctx.Err()
	}
}

func (p *partitioned) put(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free[e]++
	p.match()
}

// match gives free slots to the queue, from the engine with the most free ones.
func (p *partitioned) match() {
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
