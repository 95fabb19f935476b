package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is equal on two VMs that hold the same members for alive or leaving, in the same
// incarnations and at the same addresses. Suspicions and dead members do not count: they come and go at different times.
func (m *Machine) Digest() uint64 {
	hash := xxhash.New()
	for _, member := range m.Members() {
		_, _ = hash.WriteString(member.VM)
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, member.Incarnation))
		leaving := byte(0)
		if member.State == Leaving {
			leaving = 1
		}
		_, _ = hash.Write([]byte{0, leaving})
		for _, address := range []string{member.Callers, member.EntryPeers, member.BatchPeers, member.OperatorPeers} {
			_, _ = hash.WriteString(address)
			_, _ = hash.Write([]byte{0})
		}
	}
	return hash.Sum64()
}

// synced merges another member's whole state.
func (m *Machine) synced(now time.Time, e Synced) {
	if m.left {
		return
	}
	before := m.Digest()
	for _, member := range e.Members {
		// The sender has spread the others' states already; its own may be new to all.
		m.quiet = member.VM != e.From
		m.merge(now, e.From, member)
	}
	m.quiet = false
	if m.Digest() != before {
		m.syncSoon(now)
	}
}

// syncSoon brings forward the next comparison of states, so that what one brought reaches others.
func (m *Machine) syncSoon(now time.Time) {
	soon := now.Add(m.cfg.Period + time.Duration(m.rng.Int64N(int64(m.cfg.Period))))
	if soon.Before(m.nextSync) {
		m.nextSync = soon
	}
}

func (m *Machine) seedsFound(now time.Time, addresses []string) {
	m.seeds = slices.Clone(addresses)
	if m.live == 0 {
		m.nextRejoin = now
	}
}

func (m *Machine) merge(now time.Time, from string, member Member) {
	u := Update{VM: member.VM, Incarnation: member.Incarnation, State: member.State, Contact: contactOf(member)}
	switch {
	case member.VM == m.self.VM:
		m.applyToSelf(u)
	case member.State == Dead:
		if e := m.members[member.VM]; e != nil {
			m.dispute(e, member.Incarnation)
		}
	case member.State == Suspect:
		u.Accuser = from
		m.apply(now, u)
	default:
		m.apply(now, u)
	}
}

// dispute checks a death that this VM has not heard of in time, or that comes from the other side of
// a partition. The member is probed soon and told of the claim, so that it refutes or is found dead;
// taking the claim as it is would kill every member on this side when a partition heals.
func (m *Machine) dispute(e *entry, incarnation uint64) {
	if e.State == Dead || incarnation < e.Incarnation || e.accused >= incarnation {
		return
	}
	e.accused = incarnation
	m.probeSoon(e.VM)
}

// runRejoin tries to reach one VM that may be a member: a dead one, or a seed that is no member.
func (m *Machine) runRejoin(now time.Time) {
	if now.Before(m.nextRejoin) {
		return
	}
	m.nextRejoin = now.Add(m.rejoinPeriod(now))
	candidates := m.rejoinCandidates()
	if len(candidates) == 0 {
		return
	}
	c := candidates[m.rng.IntN(len(candidates))]
	if m.live == 0 {
		m.emit(Sync{To: c.address})
		return
	}
	m.sequence++
	m.send(c.address, c.vm, Message{Kind: KindProbe, Sequence: m.sequence, Subject: c.vm})
}

// rejoinPeriod is short for a VM that has just started, and for one that knows no other.
func (m *Machine) rejoinPeriod(now time.Time) time.Duration {
	if now.Before(m.joinUntil) {
		return m.cfg.JoinPeriod
	}
	if m.live == 0 {
		return m.cfg.Period
	}
	return m.cfg.RejoinPeriod
}

// candidate is a VM that may be a member. The name of a seed is unknown.
type candidate struct{ vm, address string }

func (m *Machine) rejoinCandidates() []candidate {
	known := map[string]struct{}{m.self.EntryPeers: {}}
	var candidates []candidate
	for vm, e := range m.members {
		known[e.EntryPeers] = struct{}{}
		if e.State == Dead && !e.hasLeft {
			candidates = append(candidates, candidate{vm, e.EntryPeers})
		}
	}
	for _, address := range m.seeds {
		if _, ok := known[address]; !ok {
			candidates = append(candidates, candidate{"", address})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(strings.Compare(a.address, b.address), strings.Compare(a.vm, b.vm))
	})
	return candidates
}
