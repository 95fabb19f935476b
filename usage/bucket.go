// Package usage counts the online requests of client accounts against their usage limits over all VMs.
//
// The load that it addresses: an account sends several times its limit for some seconds, through all VMs, a request a
// second or less through each. One VM counts all requests of an account (Ranking), in a token bucket (Buckets). A bucket
// of burst b and rate r allows at most 5r + b requests in any 5 s. What a change of the counting VM adds is bounded by
// the start value of the new bucket.
//
// The package does no I/O. Its types are not safe for concurrent use.
package usage

import (
	"math"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
)

const (
	// Window is the time over which a limit is specified.
	Window = 5 * time.Second
	// maxGap is the longest time between two calls that fills buckets. Longer gaps mean that the process was paused; other
	// VMs then counted in its place after 80 ms. At 300 ms a pause adds at most 0.3 s of the rate unnoticed.
	maxGap = 300 * time.Millisecond
	// maxBuckets bounds the buckets in memory: four times the planned number of accounts.
	maxBuckets = 16_384
	// evictionSample is the number of buckets of which the fullest is dropped when there are too many.
	evictionSample = 16
	// maxDecisions bounds the recent decisions of one generation, and decisionTime is the time between generations:
	// several times the 120 ms within which a request is repeated.
	maxDecisions = 8_192
	decisionTime = 500 * time.Millisecond
	// maxRetryAfter bounds the delay that a client is told, because limits change.
	maxRetryAfter = time.Minute
)

// ID identifies one request for all repetitions of its message.
type ID struct {
	// Process is a random number of the process that asks, and Sequence is unique in it.
	Process  uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Term says since when and as what this VM counts for an account.
type Term struct {
	// Since is when the VM began to count. What other VMs counted before is not known.
	Since time.Time
	// Takeovers is the number of changes of the counting VM within the Window before Since that this VM knows of, its own
	// one included.
	Takeovers int
	// Share is the part of the limit that this VM may allow, in (0, 1].
	Share float64
}

// Decision is the result of counting a request.
type Decision struct {
	Allowed bool
	// Limit is the limit that was applied.
	Limit account.Limit
	// Tokens is the number of requests that the account could send at once after this one.
	Tokens float64
	// RetryAfter is the time until the next request can be allowed. It is zero if this one was.
	RetryAfter time.Duration
}

// StartTokens is the content of a bucket when its VM begins to count: half of the tolerance of 0.1 x (5 x rate + burst) + 20.
// It is halved for each further takeover within the Window, so that any number of them stays within the tolerance.
func StartTokens(limit account.Limit, takeovers int) float64 {
	half := 10 + 0.05*(limit.PerSecond*Window.Seconds()+limit.Burst)
	return min(math.Ldexp(half, -max(takeovers-1, 0)), capacity(limit, 1))
}

// capacity is the largest content of a bucket. A limit without a burst allows single requests.
func capacity(limit account.Limit, share float64) float64 { return max(limit.Burst*share, 1) }

// bucket is the token bucket of one account.
type bucket struct {
	limit   account.Limit
	version uint64
	term    Term
	tokens  float64
	// filled is the time up to which the bucket is filled, in the time of Buckets.
	filled time.Duration
	// raised is when a higher burst was last added to the tokens.
	raised time.Duration
}

func (b *bucket) rate() float64     { return b.limit.PerSecond * b.term.Share }
func (b *bucket) capacity() float64 { return capacity(b.limit, b.term.Share) }

func (b *bucket) fill(at time.Duration) {
	b.tokens = min(b.tokens+b.rate()*(at-b.filled).Seconds(), b.capacity())
	b.filled = at
}

// setLimit applies a limit. Tokens that were used stay used, so a raised burst adds only the difference. It adds nothing
// a second time within the Window, since a limit that is lowered and raised again would fill the bucket each time, and no
// more than a new bucket holds, since another VM may have added the difference too.
func (b *bucket) setLimit(limit account.Limit, now time.Time) {
	before := b.capacity()
	b.limit = limit
	after := b.capacity()
	if after > before && (b.raised < 0 || b.filled-b.raised > Window) {
		b.tokens = max(b.tokens, min(b.tokens+after-before, startTokens(limit, b.term, now)))
		b.raised = b.filled
	}
	b.tokens = min(b.tokens, after)
}

// setTerm applies a term. When the term is a new one, another VM may have counted since the last request, so the bucket
// is not filled for that time, and holds no more than a new one would.
func (b *bucket) setTerm(at time.Duration, term Term, now time.Time) {
	if term.Since.After(b.term.Since) {
		b.filled = max(b.filled, at-now.Sub(term.Since))
		b.fill(at)
		b.tokens = min(b.tokens, startTokens(b.limit, term, now))
	} else {
		b.fill(at)
	}
	b.term = term
	b.tokens = min(b.tokens, b.capacity())
}

// startTokens is the content of a bucket that is created during a term: buckets that are full are not kept, so the
// bucket may have filled since the term began.
func startTokens(limit account.Limit, term Term, now time.Time) float64 {
	start := StartTokens(limit, term.Takeovers) + limit.PerSecond*max(now.Sub(term.Since), 0).Seconds()
	return min(start*term.Share, capacity(limit, term.Share))
}

// Buckets holds the buckets of the accounts that a VM counts, and its recent decisions.
type Buckets struct {
	accounts map[string]*bucket
	// last is the time of the last call, and elapsed the time that counts for filling: without pauses of the process.
	last    time.Time
	elapsed time.Duration

	recent, older map[ID]Decision
	rotated       time.Time
}

// NewBuckets returns an empty set of buckets.
func NewBuckets(now time.Time) *Buckets {
	return &Buckets{accounts: map[string]*bucket{}, last: now, recent: map[ID]Decision{}, rotated: now}
}

// Len returns the number of buckets.
func (s *Buckets) Len() int { return len(s.accounts) }

func (s *Buckets) advance(now time.Time) {
	s.elapsed += min(max(now.Sub(s.last), 0), maxGap)
	s.last = now
	if now.Sub(s.rotated) > decisionTime || len(s.recent) >= maxDecisions {
		s.older, s.recent, s.rotated = s.recent, make(map[ID]Decision, len(s.recent)), now
	}
}

// Tick drops buckets that are full. It must be called several times within maxGap, or buckets fill too slowly.
func (s *Buckets) Tick(now time.Time) {
	s.advance(now)
	for name, stored := range s.accounts {
		// A copy is filled: whether this VM counted all the time is known at the next request only.
		b := *stored
		b.fill(s.elapsed)
		// A bucket that holds a part of the limit, or more than a new one would, is kept, and so is one whose burst was
		// raised lately.
		if b.tokens >= b.capacity() && b.term.Share == 1 && (b.raised < 0 || s.elapsed-b.raised > Window) &&
			startTokens(b.limit, b.term, now) >= b.tokens {
			delete(s.accounts, name)
		}
	}
}

// Count counts a request of an account whose limit is that of a version of the configuration. A request that was counted
// before gets the same decision again. An older version than one seen before does not change the limit.
func (s *Buckets) Count(now time.Time, id ID, name string, limit account.Limit, version uint64, term Term) Decision {
	s.advance(now)
	if d, known := s.decision(id); known {
		return d
	}
	b := s.bucket(now, name, limit, version, term)
	d := Decision{Allowed: b.tokens >= 1, Limit: b.limit}
	if d.Allowed {
		b.tokens--
	} else {
		wait := (1 - b.tokens) / b.rate()
		d.RetryAfter = time.Duration(min(wait, maxRetryAfter.Seconds())*float64(time.Second)).Truncate(time.Millisecond) + time.Millisecond
	}
	d.Tokens = b.tokens
	s.recent[id] = d
	return d
}

// Decided reports whether a request was counted or cancelled recently.
func (s *Buckets) Decided(id ID) bool {
	_, known := s.decision(id)
	return known
}

func (s *Buckets) decision(id ID) (Decision, bool) {
	if d, known := s.recent[id]; known {
		return d, true
	}
	d, known := s.older[id]
	return d, known
}

func (s *Buckets) bucket(now time.Time, name string, limit account.Limit, version uint64, term Term) *bucket {
	b := s.accounts[name]
	if b == nil {
		if len(s.accounts) >= maxBuckets {
			s.evict()
		}
		b = &bucket{limit: limit, version: version, term: term, tokens: startTokens(limit, term, now), filled: s.elapsed, raised: -1}
		s.accounts[name] = b
		return b
	}
	b.setTerm(s.elapsed, term, now)
	if version >= b.version {
		b.version = version
		if limit != b.limit {
			b.setLimit(limit, now)
		}
	}
	return b
}

// evict drops the fullest of some buckets, relative to its limit.
func (s *Buckets) evict() {
	name, best, n := "", -1.0, 0
	for candidate, b := range s.accounts {
		if full := b.tokens / b.capacity(); full > best {
			name, best = candidate, full
		}
		if n++; n >= evictionSample {
			break
		}
	}
	delete(s.accounts, name)
}

// Return gives back one counted request that has not run. A repeated message has no effect: id identifies the return.
func (s *Buckets) Return(now time.Time, id ID, name string) {
	s.advance(now)
	if _, known := s.decision(id); known {
		return
	}
	s.recent[id] = Decision{Allowed: true}
	s.giveBack(name)
}

// giveBack adds the token of a request that has not run.
func (s *Buckets) giveBack(name string) {
	if b := s.accounts[name]; b != nil {
		b.tokens = min(b.tokens+1, b.capacity())
	}
}

// Cancel gives back a request that this VM counted, if it did, because another VM has counted it. A question that
// arrives after its cancellation is not counted.
func (s *Buckets) Cancel(now time.Time, id ID, name string) {
	s.advance(now)
	d, known := s.decision(id)
	s.recent[id] = Decision{}
	if known && d.Allowed {
		s.giveBack(name)
	}
}
