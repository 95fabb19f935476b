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
	// maxImmediate is the longest wait of a refusal that counts as immediate.
	maxImmediate = 10 * time.Millisecond
	// minImmediateShare is the share of refusals that have to be immediate. The others were queued because they
	// were expected to run in time, but the requests ahead of them took longer than estimated.
	minImmediateShare = 0.95
	// minUtilization is the share of the total slot time that has to be used while requests are refused.
	minUtilization = 0.9
)

// acquireFunc waits for a slot until a deadline. The returned function releases it after the request's duration.
type acquireFunc func(deadline time.Duration) (release func(time.Duration), err error)

// overloadReport counts how the requests of an overload test ended.
type overloadReport struct {
	mu                               sync.Mutex
	served, refused, late, malformed int
	busyTime                         time.Duration
}

// runOverload offers three times the load that the slots can serve, for a minute.
func runOverload(acquire acquireFunc) *overloadReport {
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

func (r *overloadReport) request(acquire acquireFunc, duration time.Duration) {
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
		r.busyTime += duration
		return
	}
	r.refused++
	if waited > maxImmediate {
		r.late++
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.RetryAfter == 0 {
		r.malformed++
	}
}

func (r *overloadReport) violation() string {
	switch {
	case r.malformed > 0:
		return "a refusal has another verdict than not-run, or no Retry-After time"
	case float64(r.late) > (1-minImmediateShare)*float64(r.refused):
		return "too many refusals are not immediate"
	case r.busyTime < time.Duration(minUtilization*float64(overloadSlots)*float64(time.Minute)):
		return "too much slot time is unused"
	default:
		return ""
	}
}

func TestOverloadRefusesImmediately(t *testing.T) {
	t.Run("controller", func(t *testing.T) {
		runFleet(t, 1, engines(1, overloadSlots), func(f *fleet) {
			report := runOverload(func(deadline time.Duration) (func(time.Duration), error) {
				grant, err := f.nodes["vm-1"].acquire("a", deadline)
				if err != nil {
					return nil, err
				}
				return func(d time.Duration) {
					grant.Release(admission.Outcome{End: admission.EndCompleted, FirstToken: 100 * time.Millisecond, Duration: d})
				}, nil
			})
			t.Logf("%d served, %d refused, %d of them late, slot utilization %.3f", report.served, report.refused, report.late,
				report.busyTime.Seconds()/overloadSlots/60)
			if violation := report.violation(); violation != "" {
				t.Error(violation)
			}
		})
	})
	t.Run("naive version that waits until the deadline", func(t *testing.T) {
		runFleet(t, 1, nil, func(f *fleet) {
			slots := make(chan struct{}, overloadSlots)
			report := runOverload(func(deadline time.Duration) (func(time.Duration), error) {
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
			t.Logf("the naive version fails: %s (%d of %d refusals late)", report.violation(), report.late, report.refused)
		})
	})
}

func TestBurstIsAdmittedWhenBatchYields(t *testing.T) {
	runFleet(t, 3, engines(2, 8), func(f *fleet) {
		time.Sleep(4 * time.Second)
		for _, n := range f.nodes {
			n.startBatch(100)
			// The completed request makes every VM estimate that requests take long.
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
