package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	overloadSlots    = 8
	overloadDuration = 500 * time.Millisecond
	overloadDeadline = 2 * time.Second
	// atOnce is the time within which a refusal counts as immediate.
	atOnce = 10 * time.Millisecond
	// minAtOnce is the share of refusals that have to be immediate. The rest were hoped for in vain:
	// what ran ahead of them took longer than expected.
	minAtOnce = 0.95
	// minUsed is the share of the slots' time that has to be used although requests are refused.
	minUsed = 0.9
)

// admitter waits for a slot until a deadline.
type admitter func(deadline time.Duration) (release func(time.Duration), err error)

// overloadReport counts how requests of an overload ended.
type overloadReport struct {
	mu                             sync.Mutex
	served, refused, late, noAfter int
	used                           time.Duration
}

// overload offers three times what the slots can serve for a minute.
func overload(acquire admitter) *overloadReport {
	report := &overloadReport{}
	random := rand.New(rand.NewPCG(1, 1))
	var requests sync.WaitGroup
	const perSecond = 3 * overloadSlots / 0.5
	for range 60 * int(perSecond) {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		duration := overloadDuration/2 + time.Duration(random.Int64N(int64(overloadDuration)))
		requests.Go(func() { report.request(acquire, duration) })
	}
	requests.Wait()
	return report
}

func (r *overloadReport) request(acquire admitter, duration time.Duration) {
	start := time.Now()
	release, err := acquire(overloadDeadline)
	waited := time.Since(start)
	if err == nil {
		time.Sleep(duration)
		release(duration)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.served++
		r.used += duration
		return
	}
	r.refused++
	if waited > atOnce {
		r.late++
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.RetryAfter == 0 {
		r.noAfter++
	}
}

func (r *overloadReport) violation() string {
	switch {
	case r.noAfter > 0:
		return "a refusal is not not-run or does not say when to come back"
	case float64(r.late) > (1-minAtOnce)*float64(r.refused):
		return "refusals come late"
	case r.used < time.Duration(minUsed*float64(overloadSlots)*float64(time.Minute)):
		return "slots stay unused"
	default:
		return ""
	}
}

func TestWhatCannotMeetItsDeadlineIsRefusedAtOnceUnderOverload(t *testing.T) {
	t.Run("ours holds it", func(t *testing.T) {
		runFleet(t, 1, engines(1, overloadSlots), func(f *fleet) {
			report := overload(func(deadline time.Duration) (func(time.Duration), error) {
				grant, err := f.nodes["vm-1"].acquire("a", deadline)
				if err != nil {
					return nil, err
				}
				return func(d time.Duration) {
					grant.Release(admission.Outcome{End: admission.EndCompleted, FirstToken: 100 * time.Millisecond, Duration: d})
				}, nil
			})
			t.Logf("%d served, %d refused, %d of them late, slots used %.3f", report.served, report.refused, report.late,
				report.used.Seconds()/overloadSlots/60)
			if violation := report.violation(); violation != "" {
				t.Error(violation)
			}
		})
	})
	t.Run("waiting until the deadline breaks it", func(t *testing.T) {
		runFleet(t, 1, nil, func(f *fleet) {
			slots := make(chan struct{}, overloadSlots)
			report := overload(func(deadline time.Duration) (func(time.Duration), error) {
				ctx, cancel := context.WithTimeout(f.ctx, deadline)
				defer cancel()
				select {
				case slots <- struct{}{}:
					return func(time.Duration) { <-slots }, nil
				case <-ctx.Done():
					return nil, notRun(verdict.CodeDeadlineExceeded, "no slot", time.Second)
				}
			})
			if report.violation() == "" {
				t.Error("the oracle accepts the naive version")
			}
			t.Logf("the naive version fails: %s (%d of %d)", report.violation(), report.late, report.refused)
		})
	})
}

func TestABurstThatBatchWorkMakesRoomForIsNotRefused(t *testing.T) {
	runFleet(t, 3, engines(2, 8), func(f *fleet) {
		time.Sleep(4 * time.Second)
		for _, n := range f.nodes {
			n.startBatch(100)
			// Every VM knows that requests last long.
			grant, err := n.acquire("a", time.Second)
			if err != nil {
				t.Fatal(err)
			}
			grant.Release(admission.Outcome{End: admission.EndCompleted, Duration: time.Minute})
		}
		time.Sleep(5 * time.Second)
		var requests sync.WaitGroup
		for range 16 {
			requests.Go(func() {
				if _, err := f.nodes["vm-1"].acquire("a", time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		requests.Wait()
	})
}
