package dispatch

import "slices"

// Candidate is a target that a request could be sent to.
type Candidate struct {
	// Name is the target's name.
	Name string
	// Local reports whether the target is in this VM's availability zone.
	Local bool
	// Healthy reports whether the target may take new work.
	Healthy bool
	// Share is the part of its normal load that the target may take, from 0 to 1. It is below 1 during slow start.
	Share float64
	// Free is the number of requests that this VM may start on the target now or could obtain slots for at once.
	Free int
	// Idle is the part of Free that can be used without preempting batch work, as far as is known.
	Idle int
	// InUse is the number of requests that this VM runs on the target.
	InUse int
	// Slots is the maximum number of concurrent requests of the target.
	Slots int
}

// Query holds the properties of a request that affect the choice.
type Query struct {
	// Tried are the names of targets to which the request must not be sent again.
	Tried []string
	// PrefixBlocks are hashes of the prompt's leading blocks, the longest prefix last.
	PrefixBlocks []uint64
}

// Filter excludes candidates.
type Filter interface {
	// Keep reports whether the request may be sent to the candidate.
	Keep(query Query, candidate Candidate) bool
}

// Scorer rates candidates.
type Scorer interface {
	// Score returns a value from 0 to 1 for each candidate. Higher is better.
	Score(query Query, candidates []Candidate) []float64
}

// WeightedScorer is a scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Chooser picks a target: it applies the filters and picks the candidate with the highest weighted sum of scores.
type Chooser struct {
	// Filters must all keep a candidate.
	Filters []Filter
	// Scorers are summed with their weights.
	Scorers []WeightedScorer
}

// NewChooser returns a chooser with the default filters and scorers. The prefix index may be nil.
func NewChooser(index *PrefixIndex) *Chooser {
	return &Chooser{
		Filters: []Filter{Healthy{}, NotTried{}, HasCredit{}},
		Scorers: []WeightedScorer{
			{Scorer: PrefixAffinity{Index: index, Bound: DefaultLoadBound}, Weight: 2},
			{Scorer: LowLoad{}, Weight: 1},
			{Scorer: MostFree{}, Weight: 1},
			{Scorer: AvoidPreemption{}, Weight: 1},
			{Scorer: SameZone{}, Weight: 0.25},
		},
	}
}

// Pick returns the index of the best candidate. Ties are broken by random, which returns a number in [0, n).
func (c *Chooser) Pick(query Query, candidates []Candidate, random func(n int) int) (index int, ok bool) {
	kept, originalIndex := c.filter(query, candidates)
	if len(kept) == 0 {
		return 0, false
	}
	sums := make([]float64, len(kept))
	for _, weighted := range c.Scorers {
		for i, score := range weighted.Scorer.Score(query, kept) {
			sums[i] += weighted.Weight * score
		}
	}
	best := slices.Max(sums)
	ties := 0
	chosen := 0
	for i, sum := range sums {
		if sum < best {
			continue
		}
		ties++
		if random(ties) == 0 {
			chosen = i
		}
	}
	return originalIndex[chosen], true
}

func (c *Chooser) filter(query Query, candidates []Candidate) (kept []Candidate, originalIndex []int) {
	for i, candidate := range candidates {
		if c.keep(query, candidate) {
			kept = append(kept, candidate)
			originalIndex = append(originalIndex, i)
		}
	}
	return kept, originalIndex
}

func (c *Chooser) keep(query Query, candidate Candidate) bool {
	return !slices.ContainsFunc(c.Filters, func(f Filter) bool { return !f.Keep(query, candidate) })
}
