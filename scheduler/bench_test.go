package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// BenchmarkSubmitAndRelease measures one submission and one release on 71 targets of 7 slots, with free slots or with
// queued online requests, and with items that wait for slots.
func BenchmarkSubmitAndRelease(b *testing.B) {
	for name, waiting := range map[string]int{"with free slots": -60, "overloaded": 60} {
		b.Run(name, func(b *testing.B) {
			const targets, slots = 71, 7
			s := scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 2)))
			s.SetTargets(epoch, fleet(targets, slots))
			now := epoch
			submit := func(n int) {
				r := online(n, now)
				r.StartBy, r.Expires = now.Add(time.Minute), now.Add(time.Minute)
				s.Submit(now, r)
			}
			total := targets*slots + waiting
			for n := range total {
				submit(n)
			}
			for n := range 200 {
				s.Submit(now, item(firstItem+n, now.Add(time.Hour)))
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				if n%300 == 299 {
					for i := n + 1; i < n+total; i++ {
						submit(i)
					}
					for i := range 200 {
						s.Submit(now, item(firstItem+i, now.Add(time.Hour)))
					}
				}
				s.Release(now, ticket(n), scheduler.Finished, 20*time.Millisecond)
				submit(n + total)
			}
		})
	}
}
