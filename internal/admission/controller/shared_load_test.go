package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

const (
	sharedVMs     = 3
	sharedTargets = 4
	sharedSlots   = 6
	// sharedMaxOnline is the maximum number of concurrent online requests: three quarters of all slots.
	sharedMaxOnline = sharedTargets * sharedSlots * 3 / 4
	// onlineDuration and batchDuration are how long online requests and batch items run.
	onlineDuration = 500 * time.Millisecond
	batchDuration  = 2 * time.Second
	// maxOnlineWait allows for two calls to an owner and the cancellation of a batch item.
	maxOnlineWait = 4*oneWayDelay + cancelDelay
)

// minBatchFill is the minimum share of the slots unused by online requests that batch work has to fill.
const minBatchFill = 0.9

// scheduler is the system under test: the fleet of controllers or the naive queue.
type scheduler interface {
	// acquireOnline waits for a slot through one of the VMs and returns its target and a function that releases it.
	acquireOnline(vm int) (target string, release func())
	// batchItemsOn returns the number of batch items that run on a target.
	batchItemsOn(target string) int
}

// loadReport collects what the test checks.
type loadReport struct {
	mu          sync.Mutex
	running     map[string]int
	longestWait time.Duration
	overcommit  string
	// availableSamples counts sampled slots that online requests did not use, and filledSamples those that batch
	// work used.
	availableSamples int
	filledSamples    int
	requests         int
}

// offerLoad sends bursts of online requests to a fleet whose slots are filled with batch work.
func offerLoad(s scheduler, seed uint64) *loadReport {
	report := &loadReport{running: make(map[string]int)}
	random := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	sampling := time.NewTicker(50 * time.Millisecond)
	defer sampling.Stop()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { report.sampleSlots(s, sampling.C, done) })
	defer sampler.Wait()
	defer close(done)
	for range 30 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		for range min(1+random.IntN(sharedMaxOnline/2), sharedMaxOnline-report.runningOnline()) {
			vm := random.IntN(sharedVMs)
			requests.Go(func() { report.request(s, vm) })
		}
	}
	requests.Wait()
	return report
}

func (r *loadReport) request(s scheduler, vm int) {
	start := time.Now()
	target, release := s.acquireOnline(vm)
	r.recordStart(s, target, time.Since(start))
	time.Sleep(onlineDuration)
	r.mu.Lock()
	r.running[target]--
	r.mu.Unlock()
	release()
}

func (r *loadReport) recordStart(s scheduler, target string, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestWait = max(r.longestWait, waited)
	r.requests++
	r.running[target]++
	// Read after counting the online request: the batch items that made room for it have ended by now.
	batch := s.batchItemsOn(target)
	if total := r.running[target] + batch; total > sharedSlots {
		r.overcommit = fmt.Sprintf("%d requests run on %s, more than its slots", total, target)
	}
}

// sampleSlots periodically counts the slots that online requests do not use and those that batch work fills.
func (r *loadReport) sampleSlots(s scheduler, ticks <-chan time.Time, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-ticks:
		}
		for i := range sharedTargets {
			name := fmt.Sprint("t", i)
			batch := s.batchItemsOn(name)
			r.mu.Lock()
			r.availableSamples += sharedSlots - r.running[name]
			r.filledSamples += batch
			r.mu.Unlock()
		}
	}
}

// runningOnline returns the number of running online requests.
func (r *loadReport) runningOnline() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.running {
		total += n
	}
	return total
}

// violation describes the first requirement that was not met, or returns "".
func (r *loadReport) violation() string {
	switch {
	case r.longestWait > maxOnlineWait:
		return fmt.Sprintf("an online request waited %s behind batch work", r.longestWait)
	case float64(r.filledSamples) < minBatchFill*float64(r.availableSamples):
		return fmt.Sprintf("batch work filled only %d of %d sampled slots that online requests did not use", r.filledSamples, r.availableSamples)
	default:
		return r.overcommit
	}
}

// controllerScheduler is a fleet of controllers with a batch process on each VM.
type controllerScheduler struct {
	t       *testing.T
	fleet   *fleet
	workers []*batchWorker
}

func (s *controllerScheduler) acquireOnline(vm int) (string, func()) {
	grant, err := s.fleet.nodes[fmt.Sprint("vm-", vm+1)].acquire("a", 30*time.Second)
	if err != nil {
		s.t.Errorf("an online request was refused: %v", err)
		return "", func() {}
	}
	return grant.Target.Name, func() { grant.Release(completed) }
}

func (s *controllerScheduler) batchItemsOn(target string) int {
	n := 0
	for _, w := range s.workers {
		n += w.runningOn(target)
	}
	return n
}

// revokedSlots returns the number of batch slots that were revoked.
func (s *controllerScheduler) revokedSlots() float64 {
	n := 0
	for _, w := range s.workers {
		w.mu.Lock()
		n += w.revoked
		w.mu.Unlock()
	}
	return float64(n)
}

func sharedEngines() []*settings.Target {
	var engines []*settings.Target
	for i := range sharedTargets {
		engines = append(engines, engine(fmt.Sprint("t", i), fmt.Sprintf("az-%c", 'a'+i%3), sharedSlots))
	}
	return engines
}

// naiveFIFO is a single first-come, first-served queue for online requests and batch items.
type naiveFIFO struct {
	mu      sync.Mutex
	free    []string
	waiting []chan string
	batch   map[string]int
}

func newNaiveFIFO(ctx context.Context) *naiveFIFO {
	q := &naiveFIFO{batch: make(map[string]int)}
	for i := range sharedTargets * sharedSlots {
		q.free = append(q.free, fmt.Sprint("t", i%sharedTargets))
	}
	for range sharedTargets * sharedSlots {
		go q.runBatch(ctx)
	}
	return q
}

func (q *naiveFIFO) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		target := q.take()
		q.count(target, 1)
		time.Sleep(batchDuration)
		q.count(target, -1)
		q.put(target)
	}
}

func (q *naiveFIFO) count(target string, change int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batch[target] += change
}

func (q *naiveFIFO) take() string {
	q.mu.Lock()
	if len(q.free) > 0 {
		target := q.free[0]
		q.free = q.free[1:]
		q.mu.Unlock()
		return target
	}
	ready := make(chan string, 1)
	q.waiting = append(q.waiting, ready)
	q.mu.Unlock()
	return <-ready
}

func (q *naiveFIFO) put(target string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free = append(q.free, target)
		return
	}
	q.waiting[0] <- target
	q.waiting = q.waiting[1:]
}

func (q *naiveFIFO) acquireOnline(int) (string, func()) {
	target := q.take()
	return target, func() { q.put(target) }
}

func (q *naiveFIFO) batchItemsOn(target string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.batch[target]
}

func TestOnlineNeverWaitsBehindBatch(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("controller with seed ", seed), func(t *testing.T) {
			runFleet(t, sharedVMs, sharedEngines(), func(f *fleet) {
				s := &controllerScheduler{t: t, fleet: f}
				for i := range sharedVMs {
					s.workers = append(s.workers, f.nodes[fmt.Sprint("vm-", i+1)].startBatch(100))
				}
				time.Sleep(4 * time.Second)
				report := offerLoad(s, seed)
				if violation := report.violation(); violation != "" {
					t.Error(violation)
				}
				t.Logf("longest wait %s; batch work filled %.3f of the slots that online requests did not use; %.2f slots revoked per online request",
					report.longestWait, float64(report.filledSamples)/float64(report.availableSamples), s.revokedSlots()/float64(report.requests))
			})
		})
	}
	t.Run("naive version first come first served", func(t *testing.T) {
		runFleet(t, sharedVMs, nil, func(f *fleet) {
			report := offerLoad(newNaiveFIFO(f.ctx), 0)
			if report.violation() == "" {
				t.Error("the oracle accepts the naive version")
			}
			t.Logf("the naive version fails: %s", report.violation())
		})
	})
}
