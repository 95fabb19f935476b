package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DefaultLoadBound is the multiple of the mean load above which prefix affinity no longer prefers a target, as
// in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
const DefaultLoadBound = 1.25

// LowLoad prefers targets of which this VM uses a smaller share of the slots.
type LowLoad struct{}

// Score implements Scorer.
func (LowLoad) Score(_ Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		scores[i] = 1 - min(1, load(c))
	}
	return scores
}

func load(c Candidate) float64 {
	capacity := float64(max(c.Slots, 1)) * max(c.Share, 0.01)
	return float64(c.InUse) / capacity
}

// MostFree prefers targets with a larger share of their slots free for this VM. The number of free slots is
// slightly out of date, so a larger share is also the safer choice.
type MostFree struct{}

// Score implements Scorer.
func (MostFree) Score(_ Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		scores[i] = min(1, float64(c.Free)/float64(max(c.Slots, 1)))
	}
	return scores
}

// AvoidPreemption prefers targets with a slot that can be used without preempting batch work, whose prompt
// would have to be processed again. The number of idle slots is slightly out of date, so a target counts
// only if it has other slots to give when the idle ones are gone.
type AvoidPreemption struct{}

// Score implements Scorer.
func (AvoidPreemption) Score(_ Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		if c.Idle > 0 && c.Free > c.Idle {
			scores[i] = 1
		}
	}
	return scores
}

// SameZone prefers targets in this VM's availability zone.
type SameZone struct{}

// Score implements Scorer.
func (SameZone) Score(_ Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		if c.Local {
			scores[i] = 1
		}
	}
	return scores
}

// PrefixAffinity prefers the target that is most likely to have the prompt's prefix in its cache. Matches in
// the index come first; without any, rendezvous hashing of the first block sends equal prompts from every
// VM to the same target.
type PrefixAffinity struct {
	// Index may be nil.
	Index *PrefixIndex
	// Bound is the multiple of the mean load above which a target is not preferred.
	Bound float64
}

// Score implements Scorer.
func (p PrefixAffinity) Score(query Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	if len(query.PrefixBlocks) == 0 {
		return scores
	}
	bound := p.Bound * meanLoad(candidates)
	anyMatch := false
	for i, c := range candidates {
		if load(c) > bound {
			continue
		}
		scores[i] = p.Index.Match(c.Name, query.PrefixBlocks)
		anyMatch = anyMatch || scores[i] > 0
	}
	if !anyMatch {
		preferHighestRank(query.PrefixBlocks[0], candidates, bound, scores)
	}
	return scores
}

// meanLoad includes the request to be placed, so that the bound is positive when all targets are idle.
func meanLoad(candidates []Candidate) float64 {
	used, capacity := 1.0, 0.0
	for _, c := range candidates {
		used += float64(c.InUse)
		capacity += float64(max(c.Slots, 1)) * max(c.Share, 0.01)
	}
	return used / capacity
}

func preferHighestRank(block uint64, candidates []Candidate, bound float64, scores []float64) {
	best := -1
	var bestRank uint64
	for i, c := range candidates {
		if load(c) > bound {
			continue
		}
		if rank := BlockRank(block, c.Name); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best >= 0 {
		scores[best] = 1
	}
}

// BlockRank returns the rendezvous hash of a content hash and a target.
func BlockRank(block uint64, target string) uint64 {
	digest := xxhash.New()
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], block)
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(target)
	return digest.Sum64()
}
