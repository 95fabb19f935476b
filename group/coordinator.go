package group

import (
	"math"

	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// capacityExponent makes the weight of a VM rise faster than its processor share: a coordinator that is short of
// processor time delays all requests of its group.
const capacityExponent = 3

// Candidate is the suitability of a VM as the coordinator of a group.
type Candidate struct {
	tier  int
	score float64
}

// Tiers of candidates; lower ones are preferred whatever the score.
const (
	tierLocal = iota
	tierAlive
	tierSuspect
	tierLeaving
	tierNoRegistry
)

// NewCandidate rates a VM: live members of the group's availability zone come first, then by rendezvous hashing weighted
// with the processor share. hasRegistry is false for a VM that is known not to have read the registry of targets.
func NewCandidate(key string, m member.Member, hasRegistry bool) Candidate {
	return Candidate{tier: tier(key, m, hasRegistry), score: score(key, m)}
}

// Better reports whether c is preferred to o.
func (c Candidate) Better(o Candidate) bool {
	return c.tier < o.tier || c.tier == o.tier && c.score > o.score
}

func tier(key string, m member.Member, hasRegistry bool) int {
	switch {
	case !hasRegistry:
		return tierNoRegistry
	case m.State == member.Suspect:
		return tierSuspect
	case m.State != member.Alive:
		return tierLeaving
	case zoneOf(key) == "" || zoneOf(key) == m.AvailabilityZone:
		return tierLocal
	default:
		return tierAlive
	}
}

// score is the weighted rendezvous hash -w/ln(u), where u is the rank scaled to (0, 1).
func score(key string, m member.Member) float64 {
	u := (float64(target.Rank(key, m.VM)>>11) + 0.5) / (1 << 53)
	return -math.Pow(float64(m.ProcessorShare()), capacityExponent) / math.Log(u)
}
