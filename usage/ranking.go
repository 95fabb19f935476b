package usage

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/member"
)

const (
	// maxRanked is the number of VMs of a Ranking: the two that one request is sent to at most, and one more.
	maxRanked = 3
	// deputyRate is the rate in requests per second that a VM allows at least while it counts in place of another one that
	// may be alive. In a Window it adds 10 requests, half of the fixed part of the tolerance.
	deputyRate = 2.0
	// startTakeovers is the assumed number of takeovers when a VM counts since its own start. It knows of none before:
	// its own loss may have been the first, and after a loss of all VMs each one that joins may rank above the last.
	startTakeovers = 2
)

// Departure is the end of a VM's ability to count, as this VM saw it.
type Departure struct {
	Member member.Member
	At     time.Time
}

// Key is the key by which the counting VM of an account is chosen.
func Key(name string) string { return "account/" + name }

// Ranking is the order in which VMs are asked to count for an account.
type Ranking struct {
	// VMs are the first VMs in rank, without those that do not answer.
	VMs []member.Member
	// Deputy means that the first of VMs counts in place of a member that is alive but does not answer this VM.
	Deputy bool
}

// Rank ranks members for an account. silent reports whether a member does not answer, and counts whether it ever did:
// a member that never answered is of an older build.
func Rank(name string, members []member.Member, silent func(vm string) (silent, counts bool)) Ranking {
	key := Key(name)
	var r Ranking
	var ranked [maxRanked]group.Candidate
	n := 0
	var skipped group.Candidate
	skippedAny := false
	for _, m := range members {
		c := group.NewCandidate(key, m, true)
		if quiet, counts := silent(m.VM); quiet {
			if counts && m.State == member.Alive && (!skippedAny || c.Better(skipped)) {
				skipped, skippedAny = c, true
			}
			continue
		}
		if n == maxRanked && !c.Better(ranked[n-1]) {
			continue
		}
		if n < maxRanked {
			n++
			r.VMs = append(r.VMs, m)
		}
		i := n - 1
		for ; i > 0 && c.Better(ranked[i-1]); i-- {
			ranked[i], r.VMs[i] = ranked[i-1], r.VMs[i-1]
		}
		ranked[i], r.VMs[i] = c, m
	}
	r.Deputy = skippedAny && n > 0 && skipped.Better(ranked[0])
	return r
}

// TermOf returns the term of a VM that counts for an account since its start, or since the last departure of a VM that
// ranked above it.
func TermOf(name string, self member.Member, started time.Time, departures []Departure) Term {
	term := Term{Since: started, Takeovers: startTakeovers, Share: 1}
	own := group.NewCandidate(Key(name), alive(self), true)
	var above []time.Time
	for _, d := range departures {
		if group.NewCandidate(Key(name), alive(d.Member), true).Better(own) {
			above = append(above, d.At)
			if d.At.After(term.Since) {
				term.Since = d.At
			}
		}
	}
	recent := 0
	for _, at := range above {
		if term.Since.Sub(at) < Window {
			recent++
		}
	}
	if term.Since.After(started) {
		term.Takeovers = recent
	}
	return term
}

func alive(m member.Member) member.Member {
	m.State = member.Alive
	return m
}

// Share is the part of a limit that the VMs of one side of a partition may allow: all of it if they are at least half of the known
// ones, and otherwise in proportion.
func Share(reached, known int) float64 {
	if reached >= known || 2*reached >= known {
		return 1
	}
	return float64(max(reached, 1)) / float64(known)
}

// DeputyShare is the part of a limit that a VM allows that counts in place of one that may be alive: the part of the VMs
// that ask it, and at least deputyRate.
func DeputyShare(perSecond float64, askers, reached int) float64 {
	return min(max(float64(askers)/float64(max(reached, 1)), deputyRate/perSecond), 1)
}
