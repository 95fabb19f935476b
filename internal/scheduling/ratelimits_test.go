package scheduling_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// limitLoad sends requests of several VMs at once, and records when they were granted slots of a target.
type limitLoad struct {
	mu      sync.Mutex
	granted []time.Time
}

// run requests slots at all VMs until ctx ends, and keeps each for a while. observe is called with each grant.
func (l *limitLoad) run(ctx context.Context, vms []*vm, target string, observe func(v *vm)) {
	var clients sync.WaitGroup
	for _, v := range vms {
		for client := range 6 {
			clients.Go(func() {
				for ctx.Err() == nil {
					request := online()
					if client == 0 {
						request = item()
					}
					slot, err := v.Acquire(ctx, request)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					if slot.Target == target {
						l.mu.Lock()
						l.granted = append(l.granted, time.Now())
						l.mu.Unlock()
						observe(v)
					}
					time.Sleep(20 * time.Millisecond)
					slot.Release(scheduler.Finished, time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
}

// most returns the most grants within a window that begins at a time or later.
func (l *limitLoad) most(window time.Duration, from time.Time) int {
	counted := slices.DeleteFunc(slices.Clone(l.granted), func(at time.Time) bool { return at.Before(from) })
	slices.SortFunc(counted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A target that stated a limit got all the requests that its slots held, from all VMs.
func TestTargetGetsNoMoreThanItsStatedLimitFromAllVMs(t *testing.T) {
	const perSecond, window = 10.0, time.Second
	for name, disturb := range map[string]func(vms []*vm){
		"undisturbed":                       func([]*vm) {},
		"while its coordinator is replaced": func(vms []*vm) { _ = vms[0].node.Close() },
		"while its coordinator is muted":    func(vms []*vm) { vms[0].lossy.setMute(true) },
	} {
		t.Run(name, func(t *testing.T) {
			vms := start(t, 4, 2, 8, always)
			ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			defer cancel()
			began := time.Now()
			time.AfterFunc(1500*time.Millisecond, func() { disturb(vms) })
			load := &limitLoad{}
			// Each response of the target brings its statement to the VM that sent the request.
			load.run(ctx, vms[1:], "t0", func(v *vm) { v.ObserveRateLimit("t0", perSecond) })
			got := load.most(window, began.Add(500*time.Millisecond))
			allowed := int(1.5*perSecond*window.Seconds() + 5)
			qt.Assert(t, got <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, %d allowed", got, window, allowed))
			qt.Assert(t, len(load.granted) >= 10, qt.IsTrue, qt.Commentf("the target got only %d requests", len(load.granted)))
		})
	}
}
