// Package workload estimates how long requests occupy a slot and how fast targets are, for placement by expected cost.
//
// It addresses demand and targets that are uneven: costs that vary tenfold within a kind of request, targets that run at 0.55
// to 1.2 of the mean speed, and phases of 600 ms in which a target takes 2.5 times as long.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package workload

import (
	"container/list"
	"math"
	"math/bits"
	"time"
)

const (
	// halfLife is the time after which an observation counts half: several periods of the load (5.2 s), so that the estimates of
	// a quiet phase hold in the next peak.
	halfLife = 30 * time.Second
	// maxWeight bounds the weight of earlier observations, so that a change shows within some dozens of requests.
	maxWeight = 60
	// minWeight is the weight from which an entry is used instead of a coarser one. With costs that vary tenfold, the mean of
	// fewer observations is worse than that of the coarser entry.
	minWeight = 8
	// highDeviations is the number of standard deviations of the logarithm between the median and the high quantile: the 90th
	// percentile if the logarithm is normally distributed.
	highDeviations = 1.28
	// Sizes are classified by powers of two from 64 to 8192 tokens: a typical prompt has 350 to 450, and a class must hold enough
	// requests to learn from.
	minSizeBits, maxSizeBits = 6, 13
)

// Class describes a request as far as its cost may depend on it.
type Class struct {
	Route, Account string
	// PromptTokens is the length of the prompt and OutputTokens the maximum length of the output. Zero means unknown.
	PromptTokens, OutputTokens int
}

// Estimate is an expected slot time.
type Estimate struct {
	// Mean is the mean and Median the median, and High a quantile that one of ten requests exceeds.
	Mean, Median, High time.Duration
	// Known means that the estimate rests on observations.
	Known bool
}

// limits bound the entries of each level, from the finest to the coarsest. A client that sends requests of all sizes fills only the
// finest two, whose least recently used entries are evicted; routes come from the operator's configuration.
var limits = [levels]int{512, 256, 64, 1}

const levels = 4

// key identifies an entry: an account's requests of a size class, all of a size class, all of a route, and all.
type key struct {
	route, account string
	prompt, output uint8
}

// Estimator learns the slot times of classes of requests.
type Estimator struct {
	levels [levels]level
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	e := &Estimator{}
	for i := range e.levels {
		e.levels[i] = level{limit: limits[i], entries: map[key]*list.Element{}, recent: list.New()}
	}
	return e
}

// Observe records the slot time of a request that ran to its end.
func (e *Estimator) Observe(now time.Time, c Class, d time.Duration) {
	if d <= 0 {
		return
	}
	for i, k := range c.keys() {
		e.levels[i].entry(k).observe(now, d)
	}
}

// Estimate returns the slot time to expect, from the finest entry that has enough observations.
func (e *Estimator) Estimate(now time.Time, c Class) Estimate {
	for i, k := range c.keys() {
		element := e.levels[i].entries[k]
		if element == nil {
			continue
		}
		if s := element.Value.(*entry); s.weightAt(now) >= minWeight {
			return s.estimate()
		}
	}
	return Estimate{}
}

// Entries returns the number of entries.
func (e *Estimator) Entries() int {
	n := 0
	for i := range e.levels {
		n += len(e.levels[i].entries)
	}
	return n
}

func (c Class) keys() [levels]key {
	prompt, output := sizeClass(c.PromptTokens), sizeClass(c.OutputTokens)
	return [levels]key{
		{route: c.Route, account: c.Account, prompt: prompt, output: output},
		{route: c.Route, prompt: prompt, output: output},
		{route: c.Route},
		{},
	}
}

func sizeClass(tokens int) uint8 {
	if tokens <= 0 {
		return 0
	}
	return uint8(min(max(bits.Len(uint(tokens)), minSizeBits), maxSizeBits))
}

// level holds a bounded number of entries.
type level struct {
	limit   int
	entries map[key]*list.Element
	// recent lists the entries, the most recently observed first.
	recent *list.List
}

func (l *level) entry(k key) *entry {
	if element := l.entries[k]; element != nil {
		l.recent.MoveToFront(element)
		return element.Value.(*entry)
	}
	if len(l.entries) >= l.limit {
		oldest := l.recent.Back()
		delete(l.entries, l.recent.Remove(oldest).(*entry).key)
	}
	s := &entry{key: k}
	l.entries[k] = l.recent.PushFront(s)
	return s
}

// entry holds decaying moments of the slot time and of its logarithm.
type entry struct {
	key    key
	weight float64
	at     time.Time
	mean   float64
	// logMean and logVariance are of the natural logarithm of the nanoseconds.
	logMean, logVariance float64
}

func (s *entry) weightAt(now time.Time) float64 {
	return s.weight * math.Exp2(-float64(max(now.Sub(s.at), 0))/float64(halfLife))
}

func (s *entry) observe(now time.Time, d time.Duration) {
	s.weight = min(s.weightAt(now), maxWeight) + 1
	s.at = now
	share := 1 / s.weight
	s.mean += share * (float64(d) - s.mean)
	difference := math.Log(float64(d)) - s.logMean
	s.logMean += share * difference
	s.logVariance = (1 - share) * (s.logVariance + share*difference*difference)
}

func (s *entry) estimate() Estimate {
	return Estimate{
		Mean:   time.Duration(s.mean),
		Median: time.Duration(math.Exp(s.logMean)),
		High:   time.Duration(math.Exp(s.logMean + highDeviations*math.Sqrt(s.logVariance))),
		Known:  true,
	}
}
