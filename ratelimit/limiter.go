package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// burstTime is the time whose tokens a target may get at once.
const burstTime = 500 * time.Millisecond

// Limiter grants requests to one target, for all VMs together, at the rate that its newest statement allows. The zero value
// has no limit.
type Limiter struct {
	statement Statement
	// bucket is nil without a limit.
	bucket *rate.Limiter
}

// Observe applies a statement unless it is older than the one in force, and reports whether the limit changed.
func (l *Limiter) Observe(now time.Time, statement Statement) (changed bool) {
	if !statement.overrides(l.statement) {
		return false
	}
	changed = statement.PerSecond != l.statement.PerSecond
	l.statement = statement
	switch {
	case !changed:
	case statement.PerSecond == 0:
		l.bucket = nil
	case l.bucket == nil:
		// The bucket starts empty: what the target got before, maybe from another coordinator, is not known.
		l.bucket = rate.NewLimiter(rate.Limit(statement.PerSecond), burst(statement.PerSecond))
		l.bucket.ReserveN(now, l.bucket.Burst())
	default:
		l.bucket.SetLimitAt(now, rate.Limit(statement.PerSecond))
		l.bucket.SetBurstAt(now, burst(statement.PerSecond))
	}
	return changed
}

func burst(perSecond float64) int { return max(int(perSecond*burstTime.Seconds()), 1) }

// Statement returns the statement in force. It has no limit if the target never stated one.
func (l *Limiter) Statement() Statement { return l.statement }

// Limited reports whether a limit is in force.
func (l *Limiter) Limited() bool { return l.bucket != nil }

// Available returns the number of requests that the target may get now.
func (l *Limiter) Available(now time.Time) int {
	if l.bucket == nil {
		return math.MaxInt
	}
	return max(int(l.bucket.TokensAt(now)), 0)
}

// Take records a request that is granted.
func (l *Limiter) Take(now time.Time) {
	if l.bucket != nil {
		l.bucket.ReserveN(now, 1)
	}
}

// Wait returns the time until the target may get the n-th further request, counted from one.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	return max(time.Duration(missing/l.statement.PerSecond*float64(time.Second)), 0)
}

// Capacity returns how many of a target's slots its limit keeps in use, if requests occupy a slot for this long.
func (l *Limiter) Capacity(slots int, slotTime time.Duration) float64 {
	if l.bucket == nil {
		return float64(slots)
	}
	return min(float64(slots), l.statement.PerSecond*slotTime.Seconds())
}
