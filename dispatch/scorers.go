package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DefaultLoadBound is how far above the mean load a target may be before prefix affinity stops
// preferring it, as in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
const DefaultLoadBound = 1.25

// LowLoad prefers targets with the smaller part of their slots in use by this VM.
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

// MostFree prefers targets with the larger part of their slots free for this VM. What is known of that is
// a little old, so the larger part is also the safer choice.
type MostFree struct{}

// Score implements Scorer.
func (MostFree) Score(_ Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, c := range candidates {
		scores[i] = min(1, float64(c.Free)/float64(max(c.Slots, 1)))
	}
	return scores
}

// SparesBatch prefers targets with a slot that need not be taken from batch work, whose prompt would
// have to be processed again. What is known of idle slots is a little old, so a target counts only
// when it has other slots to give if the idle ones are gone.
type SparesBatch struct{}

// Score implements Scorer.
func (SparesBatch) Score(_ Query, candidates []Candidate) []float64 {
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

// PrefixAffinity prefers the target that is most likely to have the prompt's prefix in its cache.
// What the index has learned goes first; without that, rendezvous hashing of the first block sends
// equal prompts to the same target from every VM.
type PrefixAffinity struct {
	// Index may be nil.
	Index *PrefixIndex
	// Bound is the load relative to the mean above which a target is not preferred.
	Bound float64
}

// Score implements Scorer.
func (p PrefixAffinity) Score(query Query, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	if len(query.PrefixBlocks) == 0 {
		return scores
	}
	bound := p.Bound * meanLoad(candidates)
	learned := false
	for i, c := range candidates {
		if load(c) > bound {
			continue
		}
		scores[i] = p.Index.Match(c.Name, query.PrefixBlocks)
		learned = learned || scores[i] > 0
	}
	if !learned {
		preferHighestRank(query.PrefixBlocks[0], candidates, bound, scores)
	}
	return scores
}

// meanLoad includes the request that is being placed, so that the bound is positive on an idle fleet.
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
