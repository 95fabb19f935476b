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
	// sharedMost is the number of online requests at once, which all slots could run.
	sharedMost = sharedTargets * sharedSlots * 3 / 4
	// onlineTime and batchTime are how long requests run.
	onlineTime = 500 * time.Millisecond
	batchTime  = 2 * time.Second
	// maxOnlineWait allows for two exchanges with an owner and the cancelling of a batch stream.
	maxOnlineWait = 4*oneWay + cancelTime
)

// minFilled is the least share of what online requests leave that batch work has to fill.
const minFilled = 0.9

// scheduler is what the oracle watches: the fleet of controllers or the naive queue.
type scheduler interface {
	// online waits for a slot through one of the VMs and returns its target and how to give it back.
	online(vm int) (target string, release func())
	// batchOn is the number of batch items that run on a target, or -1 when there is no batch work at all.
	batchOn(target string) int
}

// loadReport is what the oracle saw.
type loadReport struct {
	mu       sync.Mutex
	running  map[string]int
	longest  time.Duration
	overload string
	// left counts the samples of slots that online requests did not use, filled those that batch work used.
	left     int
	filled   int
	requests int
}

// offerLoad sends bursts of online requests to a fleet that batch work has filled.
func offerLoad(s scheduler, seed uint64) *loadReport {
	report := &loadReport{running: make(map[string]int)}
	random := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	sampling := time.NewTicker(50 * time.Millisecond)
	defer sampling.Stop()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { report.sampleAt(s, sampling.C, done) })
	defer sampler.Wait()
	defer close(done)
	for range 30 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		for range min(1+random.IntN(sharedMost/2), sharedMost-report.online()) {
			vm := random.IntN(sharedVMs)
			requests.Go(func() { report.request(s, vm) })
		}
	}
	requests.Wait()
	return report
}

func (r *loadReport) request(s scheduler, vm int) {
	start := time.Now()
	target, release := s.online(vm)
	r.enter(s, target, time.Since(start))
	time.Sleep(onlineTime)
	r.mu.Lock()
	r.running[target]--
	r.mu.Unlock()
	release()
}

func (r *loadReport) enter(s scheduler, target string, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, waited)
	r.requests++
	r.running[target]++
	// Read after the count: what made room for the running requests has happened by now.
	batch := s.batchOn(target)
	if total := r.running[target] + batch; total > sharedSlots {
		r.overload = fmt.Sprintf("%d requests run on %s", total, target)
	}
}

// sampleAt counts the slots that online requests leave, and those of them that batch work fills.
func (r *loadReport) sampleAt(s scheduler, ticks <-chan time.Time, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-ticks:
		}
		for i := range sharedTargets {
			name := fmt.Sprint("t", i)
			batch := s.batchOn(name)
			r.mu.Lock()
			r.left += sharedSlots - r.running[name]
			r.filled += batch
			r.mu.Unlock()
		}
	}
}

// online is the number of online requests that run.
func (r *loadReport) online() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.running {
		total += n
	}
	return total
}

// violation names the first rule that was broken, or returns "".
func (r *loadReport) violation() string {
	switch {
	case r.longest > maxOnlineWait:
		return fmt.Sprintf("an online request waited %s behind batch work", r.longest)
	case float64(r.filled) < minFilled*float64(r.left):
		return fmt.Sprintf("batch work filled only %d of %d slots that online requests left", r.filled, r.left)
	default:
		return r.overload
	}
}

// shared is the fleet of controllers with a batch process on each VM.
type shared struct {
	t       *testing.T
	fleet   *fleet
	workers []*batchWorker
}

func (s *shared) online(vm int) (string, func()) {
	grant, err := s.fleet.nodes[fmt.Sprint("vm-", vm+1)].acquire("a", 30*time.Second)
	if err != nil {
		s.t.Errorf("an online request was refused: %v", err)
		return "", func() {}
	}
	return grant.Target.Name, func() { grant.Release(completed) }
}

func (s *shared) batchOn(target string) int {
	n := 0
	for _, w := range s.workers {
		n += w.runningOn(target)
	}
	return n
}

// revoked is the number of batch slots that were taken back.
func (s *shared) revoked() float64 {
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

// naiveFIFO is one first-come-first-served queue for online and batch alike.
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
		time.Sleep(batchTime)
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

func (q *naiveFIFO) online(int) (string, func()) {
	target := q.take()
	return target, func() { q.put(target) }
}

func (q *naiveFIFO) batchOn(target string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.batch[target]
}

func TestOnlineNeverWaitsBehindBatchOnAnyEntry(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("ours holds it with seed ", seed), func(t *testing.T) {
			runFleet(t, sharedVMs, sharedEngines(), func(f *fleet) {
				s := &shared{t: t, fleet: f}
				for i := range sharedVMs {
					s.workers = append(s.workers, f.nodes[fmt.Sprint("vm-", i+1)].startBatch(100))
				}
				time.Sleep(4 * time.Second)
				report := offerLoad(s, seed)
				if violation := report.violation(); violation != "" {
					t.Error(violation)
				}
				t.Logf("longest wait %s; batch work filled %.3f of what online requests left; %.2f slots revoked for each",
					report.longest, float64(report.filled)/float64(report.left), s.revoked()/float64(report.requests))
			})
		})
	}
	t.Run("first come first served breaks it", func(t *testing.T) {
		runFleet(t, sharedVMs, nil, func(f *fleet) {
			report := offerLoad(newNaiveFIFO(f.ctx), 0)
			if report.violation() == "" {
				t.Error("the oracle accepts the naive version")
			}
			t.Logf("the naive version fails: %s", report.violation())
		})
	})
}
