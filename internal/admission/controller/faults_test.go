package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/member"
)

const (
	faultVMs      = 3
	faultTargets  = 4
	faultSlots    = 4
	faultClients  = 20
	faultDeadline = 5 * time.Second
	// ownerPause is more than the longest request and the time between two renewals.
	ownerPause = 5 * time.Second
)

// faultyFleet is a fleet under load whose VMs are cut off, declared dead, and restarted.
type faultyFleet struct {
	*fleet
	mu      sync.Mutex
	random  *rand.Rand
	running map[*node]map[string]int
	most    int
	stopped bool
}

func (f *faultyFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultyFleet) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// count changes the number of requests of a process on a target and notes the largest sum.
func (f *faultyFleet) count(n *node, target string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[n] == nil {
		f.running[n] = make(map[string]int)
	}
	f.running[n][target] += change
	total := 0
	for process, targets := range f.running {
		// The connections of a process end with it.
		if process.ctx.Err() == nil {
			total += targets[target]
		}
	}
	f.most = max(f.most, total)
}

func (f *faultyFleet) client(id uint64) {
	for !f.isStopped() {
		n := f.node(fmt.Sprint("vm-", f.intN(faultVMs)+1))
		start := time.Now()
		grant, err := n.Acquire(n.ctx, admission.Request{
			ID:          fmt.Sprint("r", id),
			Client:      fmt.Sprint("c", id%3),
			Model:       "m",
			Fingerprint: id,
			Deadline:    start.Add(faultDeadline),
		})
		if waited := time.Since(start); waited > faultDeadline+100*time.Millisecond {
			f.t.Errorf("a request waited %s", waited)
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		f.count(n, grant.Target.Name, 1)
		duration := time.Duration(f.intN(2000)) * time.Millisecond
		time.Sleep(duration)
		f.count(n, grant.Target.Name, -1)
		grant.Release(f.outcome(duration))
	}
}

func (f *faultyFleet) outcome(duration time.Duration) admission.Outcome {
	ends := []admission.End{admission.EndUnreachable, admission.EndRefused, admission.EndCut, admission.EndTimeout, admission.EndCancelled}
	if i := f.intN(20 * len(ends)); i < len(ends) {
		return admission.Outcome{End: ends[i]}
	}
	return admission.Outcome{End: admission.EndCompleted, FirstToken: duration / 10, Duration: duration}
}

// fault causes one fault, or ends it.
func (f *faultyFleet) fault(all []member.Member) {
	vm := fmt.Sprint("vm-", f.intN(faultVMs)+1)
	kind := f.intN(5)
	if kind >= 2 {
		// The bound on over-admission is for one change of owners within the life of a request.
		time.Sleep(ownerPause)
	}
	switch kind {
	case 0:
		f.setCut(vm, true)
	case 1:
		f.setCut(vm, false)
	case 2:
		f.setMembers(slices.DeleteFunc(slices.Clone(all), func(m member.Member) bool { return m.VM == vm }))
	case 3:
		f.setMembers(all)
	case 4:
		f.restart(vm)
		f.node(vm).startBatch(100)
	}
}

func TestFaultsNeitherStrandRequestsNorLoseSlots(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, faultVMs, engines(faultTargets, faultSlots), func(fleet *fleet) {
				f := &faultyFleet{fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), running: make(map[*node]map[string]int)}
				all := fleet.members
				for i := range faultVMs {
					f.node(fmt.Sprint("vm-", i+1)).startBatch(100)
				}
				started := time.Now()
				var clients sync.WaitGroup
				for id := range uint64(faultClients) {
					clients.Go(func() { f.client(id + 1) })
				}
				for range 40 {
					time.Sleep(time.Duration(f.intN(3000)) * time.Millisecond)
					f.fault(all)
				}
				f.mu.Lock()
				f.stopped = true
				f.mu.Unlock()
				clients.Wait()
				t.Logf("at most %d online requests at once on a target of %d slots; %.0f exchanges a second of each VM", f.most, faultSlots, f.exchangeRate(started))
				qt.Check(t, f.most <= 2*faultSlots, qt.IsTrue)
				f.recover(all)
				for i := range faultVMs {
					f.fillThrough(f.node(fmt.Sprint("vm-", i+1)))
				}
			})
		})
	}
}

// exchangeRate is the number of calls per second that each of the present processes has sent since a moment.
func (f *faultyFleet) exchangeRate(since time.Time) float64 {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return float64(f.calls) / faultVMs / time.Since(since).Seconds()
}

// recover ends all faults and waits until grants of lost holders and ejections are over.
func (f *faultyFleet) recover(all []member.Member) {
	f.setMembers(all)
	for i := range faultVMs {
		f.setCut(fmt.Sprint("vm-", i+1), false)
	}
	time.Sleep(time.Minute)
}

// fillThrough takes every slot of the fleet through one VM at once, which shows that none is lost.
func (f *faultyFleet) fillThrough(n *node) {
	var requests sync.WaitGroup
	for range faultTargets * faultSlots {
		requests.Go(func() {
			start := time.Now()
			grant, err := n.acquire("a", faultDeadline)
			if err != nil {
				f.t.Errorf("through %s: %v", n.vm, err)
				return
			}
			if waited := time.Since(start); waited > time.Second {
				f.t.Errorf("through %s a slot took %s", n.vm, waited)
			}
			time.Sleep(2 * time.Second)
			grant.Release(completed)
		})
	}
	requests.Wait()
}
