// Package usage counts the online requests of client accounts against their usage limits over all VMs.
//
// The load that it addresses: an account sends several times its limit for some seconds, through all VMs, a request a
// second or less through each. One VM counts all requests of an account (Ranking), in a token bucket (Buckets). A bucket
// of burst b and rate r allows at most 5r + b requests in any 5 s. What a change of the counting VM adds is bounded by
// the start value of the new bucket.
//
// The limit allows the 5r + b requests of a Window to come at once, which a bucket does not. A VM that has counted all requests of
// a Window lets an account overdraw its bucket, within the Window and within an overdraft that the next counting VM learns of:
// it takes the overdraft from the start value.
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
	// overdraftReserve is the part of a bucket that is left when an overdraft is wanted, so that there is time to record it.
	overdraftReserve = 0.5
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
	// Overdraft is the number of requests by which this VM may overdraw the bucket now.
	Overdraft float64
	// Inherited is the number of requests by which VMs that counted before Since may have overdrawn their buckets by then. While it
	// is unknown, the bucket is not filled.
	Inherited        float64
	InheritedUnknown bool
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
	// unfilled is what the bucket was not filled with while it was unknown what it inherits.
	unfilled float64
	// raised is when a higher burst was last added to the tokens.
	raised time.Duration
	// history holds the requests that were allowed here.
	history history
}

// maxOverdraft is the largest useful overdraft: the Window allows no more.
func maxOverdraft(limit account.Limit) float64 { return limit.PerSecond * Window.Seconds() }

func (b *bucket) rate() float64     { return b.limit.PerSecond * b.term.Share }
func (b *bucket) capacity() float64 { return capacity(b.limit, b.term.Share) }

func (b *bucket) fill(at time.Duration) {
	if b.term.InheritedUnknown {
		b.unfilled += b.rate() * (at - b.filled).Seconds()
	} else {
		b.tokens = min(b.tokens+b.rate()*(at-b.filled).Seconds(), b.capacity())
	}
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
	switch {
	case term.Since.After(b.term.Since):
		b.filled = max(b.filled, at-now.Sub(term.Since))
		b.fill(at)
		b.tokens, b.unfilled = min(b.tokens, startTokens(b.limit, term, now)), 0
	case b.term.InheritedUnknown && !term.InheritedUnknown:
		b.fill(at)
		b.tokens += b.unfilled - term.Inherited*term.Share
		b.unfilled = 0
	default:
		b.fill(at)
		if grown := term.Share - b.term.Share; grown > 0 {
			// What others have overdrawn was taken for the former part only.
			b.tokens -= grown * max(term.Inherited-b.limit.PerSecond*now.Sub(term.Since).Seconds(), 0)
		}
	}
	b.term = term
	b.tokens = min(b.tokens, b.capacity())
}

// startTokens is the content of a bucket that is created during a term: buckets that are full are not kept, so the
// bucket may have filled since the term began.
func startTokens(limit account.Limit, term Term, now time.Time) float64 {
	start := StartTokens(limit, term.Takeovers)
	if !term.InheritedUnknown {
		start += limit.PerSecond*max(now.Sub(term.Since), 0).Seconds() - term.Inherited
	}
	return min(start*term.Share, capacity(limit, term.Share))
}

// mayOverdraw reports whether one more request may be allowed although the bucket is empty.
func (b *bucket) mayOverdraw() bool {
	return b.tokens-1 >= -b.term.Overdraft && float64(b.history.total) < b.limit.PerSecond*Window.Seconds()+b.limit.Burst
}

// Buckets holds the buckets of the accounts that a VM counts, and its recent decisions.
type Buckets struct {
	accounts map[string]*bucket
	// last is the time of the last call, and elapsed the time that counts for filling: without pauses of the process.
	last    time.Time
	elapsed time.Duration
	// incomplete is when requests may last have been counted elsewhere, or when a history was dropped.
	incomplete time.Time

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
	gap := max(now.Sub(s.last), 0)
	if gap > maxGap {
		s.incomplete = now
	}
	s.elapsed += min(gap, maxGap)
	s.last = now
	if now.Sub(s.rotated) > decisionTime || len(s.recent) >= maxDecisions {
		s.older, s.recent, s.rotated = s.recent, make(map[ID]Decision, len(s.recent)), now
	}
}

// Interrupt records that other VMs may count now too, so that the histories lack requests.
func (s *Buckets) Interrupt(now time.Time) { s.incomplete = now }

// Tick drops buckets that are full. It must be called several times within maxGap, or buckets fill too slowly.
func (s *Buckets) Tick(now time.Time) {
	s.advance(now)
	for name, stored := range s.accounts {
		stored.history.advance(s.elapsed)
		// A copy is filled: whether this VM counted all the time is known at the next request only.
		b := *stored
		b.fill(s.elapsed)
		// A bucket that holds a part of the limit, or more than a new one would, is kept, and so is one whose burst was
		// raised lately.
		if b.tokens >= b.capacity() && b.history.total == 0 && b.term.Share == 1 && (b.raised < 0 || s.elapsed-b.raised > Window) &&
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
	b.history.advance(s.elapsed)
	d := Decision{Allowed: b.tokens >= 1 || s.isComplete(now, b) && b.mayOverdraw(), Limit: b.limit}
	if d.Allowed {
		b.tokens--
		b.history.add()
	} else {
		wait := (1 - b.tokens) / b.rate()
		if b.tokens-1 >= -b.term.Overdraft && s.isComplete(now, b) {
			wait = min(wait, b.history.nextDrop(s.elapsed).Seconds())
		}
		d.RetryAfter = time.Duration(min(wait, maxRetryAfter.Seconds())*float64(time.Second)).Truncate(time.Millisecond) + time.Millisecond
	}
	d.Tokens = b.tokens
	s.recent[id] = d
	return d
}

// isComplete reports whether the history of a bucket holds all requests of the last Window.
func (s *Buckets) isComplete(now time.Time, b *bucket) bool {
	return b.term.Share == 1 && now.Sub(b.term.Since) > Window && now.Sub(s.incomplete) > Window
}

// OverdraftWanted returns the overdraft that an account needs soon, zero if none. It grows in steps of one second of the rate, so that
// the next counting VM has to take little more from the account than what it has used.
func (s *Buckets) OverdraftWanted(now time.Time, name string) float64 {
	b := s.accounts[name]
	if b == nil || b.tokens > overdraftReserve*b.capacity() || !s.isComplete(now, b) {
		return 0
	}
	step := max(b.limit.PerSecond, 1)
	return min(math.Ceil((max(-b.tokens, 0)+step/2)/step)*step, maxOverdraft(b.limit))
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
	s.incomplete = s.last
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
		b.history.remove()
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
