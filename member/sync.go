package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash that is equal on two VMs that consider the same members alive or leaving, in the
// same incarnations and at the same addresses. Suspicions and dead members are excluded, because they come
// and go at different times on each VM.
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

// synced merges another member's full state.
func (m *Machine) synced(now time.Time, e Synced) {
	if m.left {
		return
	}
	before := m.Digest()
	for _, member := range e.Members {
		// The sender has already disseminated the states of others; its own may be new to all.
		m.suppressDissemination = member.VM != e.From
		m.merge(now, e.From, member)
	}
	m.suppressDissemination = false
	if m.Digest() != before {
		m.syncSoon(now)
	}
}

// syncSoon brings forward the next sync, so that changes received in one sync reach other members.
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
			m.verifyDeath(e, member.Incarnation)
		}
	case member.State == Suspect:
		u.Reporter = from
		m.apply(now, u)
	default:
		m.apply(now, u)
	}
}

// verifyDeath checks a claim of death that this VM received late, or that comes from the other side of a
// partition. The member is probed next and told of the claim, so that it refutes the claim or is found dead.
// Applying the claim unchecked would mark every member on this side dead when a partition heals.
func (m *Machine) verifyDeath(e *entry, incarnation uint64) {
	if e.State == Dead || incarnation < e.Incarnation || e.reportedDead >= incarnation {
		return
	}
	e.reportedDead = incarnation
	m.probeNext(e.VM)
}

// runRejoin tries to contact one VM that may be running: a dead member, or a seed that is not a member.
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

// rejoinPeriod is shorter for a VM that has just started, and for one that knows no other.
func (m *Machine) rejoinPeriod(now time.Time) time.Duration {
	if now.Before(m.joinUntil) {
		return m.cfg.JoinPeriod
	}
	if m.live == 0 {
		return m.cfg.Period
	}
	return m.cfg.RejoinPeriod
}

// candidate is a VM that may be running. The name of a seed is unknown.
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
