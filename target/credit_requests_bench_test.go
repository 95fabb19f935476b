package target

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkCreditRequestsAtPlannedLoad simulates one entry's share of the planned load for an hour: 25 targets that
// get 23 requests a second of 17 s each. It reports the credit requests between renewals and the unused credits held.
func BenchmarkCreditRequestsAtPlannedLoad(b *testing.B) {
	for b.Loop() {
		requests, unused := simulateHolders(25, 23, 17*time.Second, time.Hour)
		b.ReportMetric(requests, "requests/s")
		b.ReportMetric(unused, "unused/used")
	}
}

type simulatedTarget struct {
	holder *Holder
	ledger *Ledger
	ends   []time.Time
}

func (s *simulatedTarget) request(now time.Time, waiting int) {
	request := s.holder.NextRequest(now, waiting)
	request.Holder, request.Session = "vm", 1
	response, _ := s.ledger.HandleRequest(now, request)
	s.holder.HandleResponse(request.Sequence, response)
}

func (s *simulatedTarget) finish(now time.Time) {
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end.After(now) {
			kept = append(kept, end)
			continue
		}
		s.holder.Release(now)
	}
	s.ends = kept
}

func simulateHolders(targets int, perSecond float64, requestDuration, simulatedTime time.Duration) (requests, unused float64) {
	const step = 20 * time.Millisecond
	const renewal = 2 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var all []*simulatedTarget
	for range targets {
		all = append(all, &simulatedTarget{holder: NewHolder(), ledger: NewLedger(LedgerConfig{}, 1000, start)})
	}
	requested, held, used := 0, 0, 0
	for elapsed := time.Duration(0); elapsed < simulatedTime; elapsed += step {
		now := start.Add(elapsed)
		warmedUp := elapsed > 5*time.Minute
		for _, s := range all {
			s.finish(now)
			if elapsed%renewal == 0 {
				s.request(now, 0)
			}
		}
		if random.Float64() < perSecond*step.Seconds() {
			s := all[random.IntN(targets)]
			if s.holder.Free(now) == 0 {
				s.request(now, 1)
				if warmedUp {
					requested++
				}
			}
			s.holder.Acquire(now)
			s.ends = append(s.ends, now.Add(time.Duration(random.ExpFloat64()*float64(requestDuration))))
		}
		if !warmedUp || elapsed%renewal != renewal/2 {
			continue
		}
		for _, s := range all {
			held += s.holder.Limit()
			used += s.holder.InUse()
		}
	}
	return float64(requested) / (simulatedTime - 5*time.Minute).Seconds(), float64(held-used) / float64(used)
}
