package dispatch

import "slices"

// Candidate is a target that a request could be sent to.
type Candidate struct {
	// Name is the target's name.
	Name string
	// Local says that the target is in this VM's availability zone.
	Local bool
	// Healthy says that the target may take new work.
	Healthy bool
	// Share is the part of its normal load that the target may take, from 0 to 1. It is less than 1 in slow start.
	Share float64
	// Free is the number of requests that this VM may start on it now, or that it could have slots for at once.
	Free int
	// Idle is the part of Free that takes no slot from batch work, as far as is known.
	Idle int
	// InUse is the number of requests that this VM runs on it.
	InUse int
	// Slots is the number of requests that the target runs at once.
	Slots int
}

// Query is what the choice needs to know of a request.
type Query struct {
	// Tried are names of targets that the request may not be sent to again.
	Tried []string
	// PrefixBlocks are hashes of the prompt's leading blocks, the longest prefix last.
	PrefixBlocks []uint64
}

// Filter rules candidates out.
type Filter interface {
	// Keep reports whether the request may be sent to the candidate.
	Keep(query Query, candidate Candidate) bool
}

// Scorer ranks candidates.
type Scorer interface {
	// Score returns a value from 0 to 1 for each candidate. Higher is better.
	Score(query Query, candidates []Candidate) []float64
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Chooser picks a target: filters, then weighted scores, then the highest sum.
type Chooser struct {
	// Filters all have to keep a candidate.
	Filters []Filter
	// Scorers are summed by weight.
	Scorers []Weighted
}

// NewChooser returns the default chain. The prefix index may be nil.
func NewChooser(index *PrefixIndex) *Chooser {
	return &Chooser{
		Filters: []Filter{Healthy{}, NotTried{}, HasCredit{}},
		Scorers: []Weighted{
			{Scorer: PrefixAffinity{Index: index, Bound: DefaultLoadBound}, Weight: 2},
			{Scorer: LowLoad{}, Weight: 1},
			{Scorer: MostFree{}, Weight: 1},
			{Scorer: SparesBatch{}, Weight: 1},
			{Scorer: SameZone{}, Weight: 0.25},
		},
	}
}

// Pick returns the index of the best candidate. Ties are broken by random, which returns a number in [0, n).
func (c *Chooser) Pick(query Query, candidates []Candidate, random func(n int) int) (index int, ok bool) {
	kept, original := c.filter(query, candidates)
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
	return original[chosen], true
}

func (c *Chooser) filter(query Query, candidates []Candidate) (kept []Candidate, original []int) {
	for i, candidate := range candidates {
		if c.keep(query, candidate) {
			kept = append(kept, candidate)
			original = append(original, i)
		}
	}
	return kept, original
}

func (c *Chooser) keep(query Query, candidate Candidate) bool {
	return !slices.ContainsFunc(c.Filters, func(f Filter) bool { return !f.Keep(query, candidate) })
}
