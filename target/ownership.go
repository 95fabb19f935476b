// Package target decides who may send work to a target and how much: which VM owns it, how the
// owner divides its slots into credits and batch slots, how a holder of credits renews them, and
// whether the target is healthy.
//
// The types perform no I/O, do not block, and take the current time as an argument. They are not safe
// for concurrent use.
package target

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarydyke/rosemarydyke/member"
)

// Rank returns the rendezvous hash (Thaler and Ravishankar 1998) of a pair of names. Of several
// candidates for a key, the one with the highest rank is chosen.
func Rank(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Owner returns the member that allocates the slots of a target: the one with the highest rank in the
// target's availability zone, or else of all members. It reports false when no member can own it.
//
// Suspect members keep their targets, so that a single lost probe does not move ownership. Leaving members own
// targets only if no other member is left: otherwise callers that still use the last VM's address would wait in vain.
func Owner(name, availabilityZone string, members []member.Member) (member.Member, bool) {
	owner, found := ownerAmong(name, availabilityZone, members, member.Alive, member.Suspect)
	if !found {
		return ownerAmong(name, availabilityZone, members, member.Leaving)
	}
	return owner, true
}

func ownerAmong(name, availabilityZone string, members []member.Member, states ...member.State) (member.Member, bool) {
	var best member.Member
	var bestRank uint64
	found, bestLocal := false, false
	for _, m := range members {
		if !slices.Contains(states, m.State) {
			continue
		}
		local := m.AvailabilityZone == availabilityZone
		if found && bestLocal && !local {
			continue
		}
		rank := Rank(name, m.VM)
		if !found || local && !bestLocal || rank > bestRank {
			best, bestRank, bestLocal, found = m, rank, local, true
		}
	}
	return best, found
}

// Owned is a target together with its owner and the model or service that it serves.
type Owned struct {
	// Name is the target's name.
	Name string
	// Serves is the model or service that the target serves.
	Serves string
	// Owner is the VM that owns the target.
	Owner member.Member
}

// Subset chooses the targets that one VM sends work to. It goes through the owners by their rank for
// the VM, those in its availability zone first and in its region next, and takes all targets of each
// until it has want(serves) targets of every model and service.
//
// Taking all targets of an owner bounds the number of VMs with which a VM exchanges credits,
// regardless of the size of the fleet.
func Subset(self member.Member, targets []Owned, want func(serves string) int) []Owned {
	byOwner := make(map[string][]Owned)
	missing := make(map[string]int)
	for _, t := range targets {
		byOwner[t.Owner.VM] = append(byOwner[t.Owner.VM], t)
		missing[t.Serves] = want(t.Serves)
	}
	var chosen []Owned
	for _, owner := range ownersByRank(self, byOwner) {
		if !anyMissing(byOwner[owner], missing) {
			continue
		}
		for _, t := range byOwner[owner] {
			chosen = append(chosen, t)
			missing[t.Serves]--
		}
	}
	return chosen
}

func anyMissing(targets []Owned, missing map[string]int) bool {
	return slices.ContainsFunc(targets, func(t Owned) bool { return missing[t.Serves] > 0 })
}

func ownersByRank(self member.Member, byOwner map[string][]Owned) []string {
	type ranked struct {
		vm       string
		distance int
		rank     uint64
	}
	owners := make([]ranked, 0, len(byOwner))
	for vm, targets := range byOwner {
		owners = append(owners, ranked{vm, distance(self, targets[0].Owner), Rank(self.VM, vm)})
	}
	slices.SortFunc(owners, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.rank, a.rank), cmp.Compare(a.vm, b.vm))
	})
	names := make([]string, len(owners))
	for i, o := range owners {
		names[i] = o.vm
	}
	return names
}

// distance orders owners: the VM itself, its availability zone, its region, all others.
func distance(self, owner member.Member) int {
	switch {
	case self.VM == owner.VM:
		return 0
	case self.AvailabilityZone == owner.AvailabilityZone:
		return 1
	case self.Region == owner.Region:
		return 2
	default:
		return 3
	}
}
