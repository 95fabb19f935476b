package quarantine

import "time"

// recentKeys holds the last time of each of the most recent keys.
type recentKeys struct {
	// A full generation becomes the previous one, and the one before that is dropped.
	current, previous map[uint64]time.Time
	limit             int
}

func newRecentKeys(limit int) *recentKeys {
	return &recentKeys{current: make(map[uint64]time.Time), limit: max(limit/2, 1)}
}

func (r *recentKeys) set(key uint64, at time.Time) {
	if last, _ := r.last(key); last.After(at) {
		return
	}
	r.current[key] = at
	if len(r.current) > r.limit {
		r.previous, r.current = r.current, make(map[uint64]time.Time)
	}
}

func (r *recentKeys) last(key uint64) (time.Time, bool) {
	if at, ok := r.current[key]; ok {
		return at, true
	}
	at, ok := r.previous[key]
	return at, ok
}

// rateBuckets is the number of intervals in which a rateCounter counts its window.
const rateBuckets = 10

// rateCounter counts what happened within a window.
type rateCounter struct {
	interval time.Duration
	// start is the beginning of the first interval. Intervals are counted from it, because the time of day may jump.
	start  time.Time
	counts [rateBuckets]int
	// current is the number of the interval that is being counted.
	current int64
}

func newRateCounter(window time.Duration) rateCounter {
	return rateCounter{interval: max(window/rateBuckets, time.Nanosecond)}
}

func (r *rateCounter) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	interval := int64(now.Sub(r.start) / r.interval)
	if interval-r.current >= rateBuckets {
		r.counts = [rateBuckets]int{}
		r.current = interval
	}
	for r.current < interval {
		r.current++
		r.counts[r.current%rateBuckets] = 0
	}
}

func (r *rateCounter) add(now time.Time) {
	r.advance(now)
	r.counts[r.current%rateBuckets]++
}

func (r *rateCounter) count(now time.Time) int {
	r.advance(now)
	total := 0
	for _, n := range r.counts {
		total += n
	}
	return total
}
