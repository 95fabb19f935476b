package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// queue holds updates that are still to be spread, at most one for each VM.
type queue struct{ items map[string]*queued }

// queued is an update with the number of times it was sent.
type queued struct {
	Update
	sent int
	// gossiped is true once the update was part of a burst.
	gossiped bool
}

// add queues an update in place of an earlier one about the same VM. It keeps the earlier one's
// contact, which not all members have received yet.
func (q *queue) add(u Update) {
	old := q.items[u.VM]
	if old != nil && u.State != Dead && u.Contact == nil && startOf(u.Incarnation) == startOf(old.Incarnation) {
		u.Contact = old.Contact
	}
	q.items[u.VM] = &queued{Update: u}
}

func (q *queue) has(vm string) bool { return q.items[vm] != nil }

// hasNews reports whether an update was not part of a burst yet.
func (q *queue) hasNews() bool {
	for _, item := range q.items {
		if !item.gossiped {
			return true
		}
	}
	return false
}

// take returns updates of up to budget bytes, the least sent first, and drops those sent limit times.
func (q *queue) take(budget, limit int, burst bool) []Update {
	if len(q.items) == 0 {
		return nil
	}
	items := make([]*queued, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), strings.Compare(a.VM, b.VM))
	})
	var updates []Update
	for _, item := range items {
		size := item.size()
		if size > budget {
			continue
		}
		budget -= size
		updates = append(updates, item.Update)
		item.sent++
		item.gossiped = item.gossiped || burst
		if item.sent >= limit {
			delete(q.items, item.VM)
		}
	}
	return updates
}

// send emits a message with updates: what concerns the receiver first, so that it can refute.
func (m *Machine) send(address, vm string, message Message) {
	budget := m.cfg.MaxUpdateBytes
	if u, ok := m.accusation(vm); ok {
		message.Updates = append(message.Updates, u)
		budget -= u.size()
	}
	burst := message.Kind == KindGossip
	message.Updates = append(message.Updates, m.queue.take(budget, m.cfg.retransmits(m.size()), burst)...)
	message.Revision = m.revision
	m.emit(Send{To: address, Message: message})
}

// spread queues an update that this VM has learned, unless it came with a whole state.
func (m *Machine) spread(u Update) {
	if !m.quiet {
		m.queue.add(u)
	}
}

// accusation returns what this VM holds against another, if it does.
func (m *Machine) accusation(vm string) (Update, bool) {
	e := m.members[vm]
	switch {
	case e == nil:
		return Update{}, false
	case e.State == Dead:
		return Update{VM: vm, Incarnation: e.Incarnation, State: Dead, Accuser: m.self.VM}, true
	case e.accused >= e.Incarnation:
		return Update{VM: vm, Incarnation: e.accused, State: Dead, Accuser: m.self.VM}, true
	case e.State == Suspect:
		return Update{VM: vm, Incarnation: e.Incarnation, State: Suspect, Accuser: m.self.VM}, true
	}
	return Update{}, false
}

func (m *Machine) hasNews() bool { return m.revisionIsNews || m.queue.hasNews() }

func (m *Machine) runGossip(now time.Time) {
	if now.Before(m.nextGossip) || !m.hasNews() {
		return
	}
	m.nextGossip = now.Add(m.cfg.GossipPeriod)
	m.gossip()
}

func (m *Machine) gossip() {
	m.revisionIsNews = false
	for _, e := range m.randomMembers(m.cfg.GossipFanout, "") {
		m.send(e.EntryPeers, e.VM, Message{Kind: KindGossip})
	}
}

func (m *Machine) learnRevision(revision uint64) {
	if revision > m.revision {
		m.revision = revision
		m.revisionIsNews = true
	}
}

func (m *Machine) revisionHeard(revision uint64, from string) {
	if revision > m.revision {
		m.learnRevision(revision)
		m.emit(RevisionLearned{Revision: revision, From: from})
	}
}

// runSync compares states with a random member.
func (m *Machine) runSync(now time.Time) {
	if now.Before(m.nextSync) {
		return
	}
	m.nextSync = now.Add(m.cfg.SyncPeriod)
	m.reap(now)
	for _, e := range m.randomMembers(1, "") {
		m.emit(Sync{To: e.EntryPeers})
	}
}

// reap forgets members that have been dead for long.
func (m *Machine) reap(now time.Time) {
	for vm, e := range m.members {
		if e.State == Dead && now.Sub(e.diedAt) >= m.cfg.RememberDead {
			delete(m.members, vm)
		}
	}
}
