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
	// ownerChangeInterval is longer than the longest request and the interval between two renewals.
	ownerChangeInterval = 5 * time.Second
)

// faultyFleet is a fleet under load whose VMs are isolated, declared dead and restarted at random.
type faultyFleet struct {
	*fleet
	mu         sync.Mutex
	random     *rand.Rand
	running    map[*node]map[string]int
	maxRunning int
	stopped    bool
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

// addRunning adjusts the number of requests that a process runs on a target and records the largest total.
func (f *faultyFleet) addRunning(n *node, target string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[n] == nil {
		f.running[n] = make(map[string]int)
	}
	f.running[n][target] += change
	total := 0
	for process, targets := range f.running {
		// When a process ends, its connections and their requests end with it.
		if process.ctx.Err() == nil {
			total += targets[target]
		}
	}
	f.maxRunning = max(f.maxRunning, total)
}

func (f *faultyFleet) runClient(id uint64) {
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
			f.t.Errorf("a request waited %s, longer than its deadline", waited)
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		f.addRunning(n, grant.Target.Name, 1)
		duration := time.Duration(f.intN(2000)) * time.Millisecond
		time.Sleep(duration)
		f.addRunning(n, grant.Target.Name, -1)
		grant.Release(f.randomOutcome(duration))
	}
}

func (f *faultyFleet) randomOutcome(duration time.Duration) admission.Outcome {
	ends := []admission.End{admission.EndUnreachable, admission.EndRefused, admission.EndInterrupted, admission.EndTimeout, admission.EndCancelled}
	if i := f.intN(20 * len(ends)); i < len(ends) {
		return admission.Outcome{End: ends[i]}
	}
	return admission.Outcome{End: admission.EndCompleted, FirstToken: duration / 10, Duration: duration}
}

// injectFault starts or ends one random fault.
func (f *faultyFleet) injectFault(all []member.Member) {
	vm := fmt.Sprint("vm-", f.intN(faultVMs)+1)
	kind := f.intN(5)
	if kind >= 2 {
		// The bound on over-admission holds for at most one change of owner within the duration of a request.
		time.Sleep(ownerChangeInterval)
	}
	switch kind {
	case 0:
		f.setUnreachable(vm, true)
	case 1:
		f.setUnreachable(vm, false)
	case 2:
		f.setMembers(slices.DeleteFunc(slices.Clone(all), func(m member.Member) bool { return m.VM == vm }))
	case 3:
		f.setMembers(all)
	case 4:
		f.restart(vm)
		f.node(vm).startBatch(100)
	}
}

func TestFaultsNeitherBlockRequestsNorLeakSlots(t *testing.T) {
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
					clients.Go(func() { f.runClient(id + 1) })
				}
				for range 40 {
					time.Sleep(time.Duration(f.intN(3000)) * time.Millisecond)
					f.injectFault(all)
				}
				f.mu.Lock()
				f.stopped = true
				f.mu.Unlock()
				clients.Wait()
				t.Logf("at most %d concurrent online requests on a target of %d slots; %.0f calls per second sent by each VM", f.maxRunning, faultSlots, f.callRate(started))
				qt.Check(t, f.maxRunning <= 2*faultSlots, qt.IsTrue)
				f.recover(all)
				for i := range faultVMs {
					f.acquireAllSlots(f.node(fmt.Sprint("vm-", i+1)))
				}
			})
		})
	}
}

// callRate returns the mean number of calls per second that each VM has sent since a given time.
func (f *faultyFleet) callRate(since time.Time) float64 {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return float64(f.calls) / faultVMs / time.Since(since).Seconds()
}

// recover ends all faults and waits until grants of lost holders and ejections have expired.
func (f *faultyFleet) recover(all []member.Member) {
	f.setMembers(all)
	for i := range faultVMs {
		f.setUnreachable(fmt.Sprint("vm-", i+1), false)
	}
	time.Sleep(time.Minute)
}

// acquireAllSlots acquires all slots of the fleet through one VM concurrently, which shows that none was leaked.
func (f *faultyFleet) acquireAllSlots(n *node) {
	var requests sync.WaitGroup
	for range faultTargets * faultSlots {
		requests.Go(func() {
			start := time.Now()
			grant, err := n.acquire("a", faultDeadline)
			if err != nil {
				f.t.Errorf("acquire through %s: %v", n.vm, err)
				return
			}
			if waited := time.Since(start); waited > time.Second {
				f.t.Errorf("acquire through %s waited %s for a slot", n.vm, waited)
			}
			time.Sleep(2 * time.Second)
			grant.Release(completed)
		})
	}
	requests.Wait()
}
