package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
)

const (
	// settleTime is how long accepted jobs may take after the last fault has ended.
	settleTime = 40 * time.Second
	// storeDelay is the delay of a slow store.
	storeDelay = 400 * time.Millisecond
	jobItems   = 16
)

// Play plays the plan of a seed and returns what clients and targets saw. It writes the history to Config.Dir.
func Play(ctx context.Context, config Config) (History, error) {
	f, err := StartFleet(ctx, config)
	if err != nil {
		return History{}, err
	}
	defer f.Close()
	started := time.Now()
	h := History{Events: config.Events}
	var mu sync.Mutex
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	jobsCtx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	newClient := func(kind string, i int) *client {
		return &client{fleet: f, random: rand.New(rand.NewPCG(config.Seed, uint64(1000+i))), name: fmt.Sprintf("%s%d", kind, i), started: started}
	}
	var clients, batchClients sync.WaitGroup
	for i := range config.Clients {
		c := newClient("c", i)
		route := []Route{Resumable, Resumable, Resumable, Once, NonIdempotent}[i%5]
		clients.Go(func() {
			for clientsCtx.Err() == nil {
				s := c.stream(clientsCtx, route)
				mu.Lock()
				h.Streams = append(h.Streams, s)
				mu.Unlock()
			}
			c.disconnect()
		})
	}
	for i := range config.BatchClients {
		c := newClient("j", config.Clients+i)
		batchClients.Go(func() {
			for clientsCtx.Err() == nil {
				j := c.job(jobsCtx, jobItems)
				mu.Lock()
				h.Jobs = append(h.Jobs, j)
				mu.Unlock()
			}
		})
	}
	plan := Plan(config.Seed, config.Duration, config.VMs, config.Targets)
	if config.Releases {
		plan = ReleasePlan(config.Seed, config.Duration, config.VMs)
	}
	var inject sync.WaitGroup
	for _, fault := range plan {
		time.Sleep(time.Until(started.Add(fault.At)))
		f.log.Info().Stringer("fault", fault).Msg("fault begins")
		inject.Go(func() {
			hit := f.inject(fault)
			f.log.Info().Stringer("fault", fault).Bool("hit", hit).Msg("fault ended")
		})
	}
	time.Sleep(time.Until(started.Add(config.Duration)))
	inject.Wait()
	stopClients()
	clients.Wait()
	timer := time.AfterFunc(settleTime, stopJobs)
	batchClients.Wait()
	timer.Stop()
	if h.Runs, err = f.runs(); err != nil {
		return h, err
	}
	content, err := json.MarshalIndent(h, "", " ")
	if err != nil {
		return h, err
	}
	return h, os.WriteFile(filepath.Join(config.Dir, "history.json"), content, 0o600)
}

// inject applies a fault until its end. It returns false if its subject is in another fault that excludes it.
func (f *Fleet) inject(fault Fault) bool {
	switch fault.Subject {
	case VM:
		if fault.Kind == Release {
			return f.release(f.vms[fault.Index], fault)
		}
		if fault.Kind == KillAll {
			fault.Kind = Kill
			var kills sync.WaitGroup
			for _, v := range f.vms {
				kills.Go(func() { f.faultVM(v, fault) })
			}
			kills.Wait()
			return true
		}
		return f.faultVM(f.vms[fault.Index], fault)
	case Target:
		if fault.Kind == Replace {
			return f.replace(fault)
		}
		return f.faultTarget(f.targets[fault.Index], fault)
	case ClientLink:
		f.vms[fault.Index].clientProxy.Impair(fault)
	case StoreLink:
		f.vms[fault.Index].storeProxy.Impair(fault)
	case TargetLink:
		f.targets[fault.Index].proxy.Impair(fault)
	case Store:
		return f.faultStore(fault)
	}
	return true
}

func (f *Fleet) faultVM(v *vm, fault Fault) bool {
	if !v.mu.TryLock() {
		return false
	}
	defer v.mu.Unlock()
	switch fault.Kind {
	case Pause:
		v.signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		v.signal(syscall.SIGCONT)
		return true
	case Kill:
		v.end(syscall.SIGKILL, stopGrace)
	case Term:
		v.end(syscall.SIGTERM, stopGrace)
	}
	time.Sleep(fault.Duration)
	return f.restart(&v.node)
}

func (f *Fleet) restart(n *node) bool {
	if err := n.start(); err != nil {
		f.log.Error().Err(err).Msg("not restarted")
		return false
	}
	return true
}

func (f *Fleet) faultTarget(t *target, fault Fault) bool {
	if !t.mu.TryLock() {
		return false
	}
	defer t.mu.Unlock()
	old := t.id
	switch fault.Kind {
	case Pause:
		t.signal(syscall.SIGSTOP)
		time.Sleep(min(fault.Duration, expiry))
		if fault.Duration > expiry {
			f.unregister(old)
			time.Sleep(fault.Duration - expiry)
		}
		t.signal(syscall.SIGCONT)
		f.register(t, "ready")
		return true
	case Kill:
		t.end(syscall.SIGKILL, stopGrace)
		f.wait.Go(func() {
			time.Sleep(expiry)
			f.unregister(old)
		})
	case Term:
		if fault.Direction == 0 {
			f.register(t, "draining")
		} else {
			f.unregister(old)
		}
		time.Sleep(leaveTime)
		t.end(syscall.SIGKILL, stopGrace)
		f.unregister(old)
	}
	time.Sleep(fault.Duration)
	if !f.restart(&t.node) {
		return false
	}
	f.register(t, "ready")
	return true
}

// replace restarts half of the targets at the other version.
func (f *Fleet) replace(fault Fault) bool {
	if !f.replaces.TryLock() {
		return false
	}
	defer f.replaces.Unlock()
	f.version.Store(1 - f.version.Load())
	var stops sync.WaitGroup
	for i := fault.Index; i < fault.Index+len(f.targets)/2; i++ {
		stops.Go(func() {
			f.faultTarget(f.targets[i%len(f.targets)], Fault{Kind: Term, Duration: fault.Duration / 4, Direction: fault.Direction})
		})
		time.Sleep(fault.Duration / 8)
	}
	stops.Wait()
	return true
}

// release replaces half of the targets, or all, while a VM is out of step. Streams begin at the new ones by way of the other VMs
// and break, and their clients return to any VM.
func (f *Fleet) release(outOfStep *vm, fault Fault) bool {
	if !f.replaces.TryLock() {
		return false
	}
	defer f.replaces.Unlock()
	var faults sync.WaitGroup
	defer faults.Wait()
	faults.Go(func() {
		if fault.Direction == 0 {
			f.faultVM(outOfStep, Fault{Kind: Pause, Duration: fault.Duration})
			return
		}
		outOfStep.storeProxy.Impair(Fault{Kind: Silence, Duration: fault.Duration})
	})
	f.version.Store(1 - f.version.Load())
	released := f.targets
	if fault.Duration%4 != 0 {
		released = released[:len(released)/2]
	}
	var restarts sync.WaitGroup
	for _, t := range released {
		restarts.Go(func() { f.restartTarget(t) })
	}
	restarts.Wait()
	time.Sleep(fault.Duration / 2)
	for _, t := range released[:(len(released)+1)/2] {
		restarts.Go(func() { f.restartTarget(t) })
	}
	restarts.Wait()
	return true
}

// restartTarget kills a target, and starts it again at the version of the fleet.
func (f *Fleet) restartTarget(t *target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.id
	t.end(syscall.SIGKILL, stopGrace)
	f.unregister(old)
	if f.restart(&t.node) {
		f.register(t, "ready")
	}
}

func (f *Fleet) faultStore(s Fault) bool {
	if s.Kind == Pause {
		if !f.standIn.mu.TryLock() {
			return false
		}
		defer f.standIn.mu.Unlock()
		f.standIn.signal(syscall.SIGSTOP)
		time.Sleep(s.Duration)
		f.standIn.signal(syscall.SIGCONT)
		return true
	}
	for _, subject := range []string{platformserver.SubjectTable, platformserver.SubjectObjects} {
		body, err := json.Marshal(fault.Fault{Subject: subject, Kind: fault.Kind(s.Kind), DurationMS: s.Duration.Milliseconds(), DelayMS: storeDelay.Milliseconds()})
		if err != nil {
			return false
		}
		response, err := http.Post("http://"+f.control+"/faults", "application/json", bytes.NewReader(body))
		if err != nil {
			f.log.Error().Err(err).Msg("store fault not injected")
			return false
		}
		_ = response.Body.Close()
	}
	time.Sleep(s.Duration)
	return true
}
