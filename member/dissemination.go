package member

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// queue holds the updates that are still to be disseminated, at most one for each VM.
type queue struct{ items map[string]*queued }

// queued is an update with its transmission count.
type queued struct {
	Update
	sent int
	// gossiped is true once the update was part of a gossip message.
	gossiped bool
}

// add queues an update, replacing an earlier one about the same VM. It keeps the earlier one's
// contact, which some members may not have received yet.
func (q *queue) add(u Update) {
	old := q.items[u.VM]
	if old != nil && u.State != Dead && u.Contact == nil && startOf(u.Incarnation) == startOf(old.Incarnation) {
		u.Contact = old.Contact
	}
	q.items[u.VM] = &queued{Update: u}
}

func (q *queue) has(vm string) bool { return q.items[vm] != nil }

// hasUngossiped reports whether an update has not been part of a gossip message yet.
func (q *queue) hasUngossiped() bool {
	for _, item := range q.items {
		if !item.gossiped {
			return true
		}
	}
	return false
}

// take returns updates of up to budget bytes, least transmitted first, and drops those sent limit times.
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

// send emits a message with piggybacked updates, those about the receiver first, so that it can refute them.
func (m *Machine) send(address, vm string, message Message) {
	budget := m.cfg.MaxUpdateBytes
	if u, ok := m.reportAbout(vm); ok {
		message.Updates = append(message.Updates, u)
		budget -= u.size()
	}
	burst := message.Kind == KindGossip
	message.Updates = append(message.Updates, m.queue.take(budget, m.cfg.retransmits(m.size()), burst)...)
	message.Revision = m.revision
	m.emit(Send{To: address, Message: message})
}

// disseminate queues an update received from another VM, unless it came with a full state.
func (m *Machine) disseminate(u Update) {
	if !m.suppressDissemination {
		m.queue.add(u)
	}
}

// reportAbout returns the claim of suspicion or death that this VM has against another, if there is one.
func (m *Machine) reportAbout(vm string) (Update, bool) {
	e := m.members[vm]
	switch {
	case e == nil:
		return Update{}, false
	case e.State == Dead:
		return Update{VM: vm, Incarnation: e.Incarnation, State: Dead, Reporter: m.self.VM}, true
	case e.reportedDead >= e.Incarnation:
		return Update{VM: vm, Incarnation: e.reportedDead, State: Dead, Reporter: m.self.VM}, true
	case e.State == Suspect:
		return Update{VM: vm, Incarnation: e.Incarnation, State: Suspect, Reporter: m.self.VM}, true
	}
	return Update{}, false
}

func (m *Machine) hasUnsent() bool { return m.revisionUnsent || m.queue.hasUngossiped() }

func (m *Machine) runGossip(now time.Time) {
	if now.Before(m.nextGossip) || !m.hasUnsent() {
		return
	}
	m.nextGossip = now.Add(m.cfg.GossipPeriod)
	m.gossip()
}

func (m *Machine) gossip() {
	m.revisionUnsent = false
	for _, e := range m.randomMembers(m.cfg.GossipFanout, "") {
		m.send(e.EntryPeers, e.VM, Message{Kind: KindGossip})
	}
}

func (m *Machine) learnRevision(revision uint64) {
	if revision > m.revision {
		m.revision = revision
		m.revisionUnsent = true
	}
}

func (m *Machine) observeRevision(revision uint64, from string) {
	if revision > m.revision {
		m.learnRevision(revision)
		m.emit(RevisionLearned{Revision: revision, From: from})
	}
}

// runSync syncs state with a random member.
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

// reap removes members that have been dead for DeadRetention.
func (m *Machine) reap(now time.Time) {
	for vm, e := range m.members {
		if e.State == Dead && now.Sub(e.diedAt) >= m.cfg.DeadRetention {
			delete(m.members, vm)
		}
	}
}
