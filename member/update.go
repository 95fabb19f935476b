package member

import "time"

func (m *Machine) received(now time.Time, e Received) {
	if m.left || e.From == m.self.VM {
		return
	}
	for _, u := range e.Message.Updates {
		m.apply(now, u)
	}
	m.observeRevision(e.Message.Revision, e.From)
	switch e.Message.Kind {
	case KindProbe:
		if e.Message.Subject == "" || e.Message.Subject == m.self.VM {
			m.send(e.Address, e.From, Message{Kind: KindAck, Sequence: e.Message.Sequence})
		}
	case KindAck:
		m.ackReceived(e.Message.Sequence)
	case KindIndirectProbe:
		m.relayProbe(now, e)
	case KindNack:
		m.nackReceived(e.Message.Sequence)
	}
	m.syncWithUnknown(now, e)
}

// syncWithUnknown syncs state with a sender that is not a live member here: it has just started, was partitioned, or
// was removed after DeadRetention.
func (m *Machine) syncWithUnknown(now time.Time, e Received) {
	sender := m.members[e.From]
	if sender != nil && sender.State != Dead || now.Before(m.nextUnknownSync) {
		return
	}
	m.nextUnknownSync = now.Add(m.unknownSyncPeriod(now))
	m.emit(Sync{To: e.Address})
}

// unknownSyncPeriod is the shortest time between two syncs triggered by unknown senders.
func (m *Machine) unknownSyncPeriod(now time.Time) time.Duration {
	if now.Before(m.joinUntil) {
		return m.cfg.JoinPeriod
	}
	return m.cfg.RejoinPeriod
}

// apply merges one update.
func (m *Machine) apply(now time.Time, u Update) {
	if u.VM == m.self.VM {
		m.applyToSelf(u)
		return
	}
	e := m.members[u.VM]
	if e == nil {
		m.add(now, u)
		return
	}
	if u.State == Dead && m.mayBeOutdated(now, e, u) {
		m.verifyDeath(e, u.Incarnation)
		return
	}
	if u.State == Dead && !isSelfAnnounced(u) && !e.suspicion.hadTimeToRefute(now) {
		// The sender may have been partitioned, and the member may not have received the claim that it could refute.
		u.State = Suspect
	}
	if u.Contact == nil && startOf(u.Incarnation) != startOf(e.Incarnation) {
		// The contact of that start is not known here. A state sync brings it.
		return
	}
	switch {
	case u.Incarnation > e.Incarnation:
		m.advance(now, e, u)
	case u.Incarnation == e.Incarnation && u.State == Suspect:
		if e.State <= Suspect {
			m.suspect(now, e, u.Reporter)
		}
	case u.Incarnation == e.Incarnation && u.State > e.State:
		m.transition(now, e, u)
	}
}

// isSelfAnnounced reports whether a VM's death was announced by the VM itself on leaving.
func isSelfAnnounced(u Update) bool { return u.State == Dead && u.Reporter == u.VM }

// mayBeOutdated reports whether a claim of death may have been refuted already: it waited in this VM's
// socket buffer during a pause, or concerns another start of the process than the one known here, with
// a clock that may have been set back since.
func (m *Machine) mayBeOutdated(now time.Time, e *entry, u Update) bool {
	return now.Sub(m.resumedAt) < m.cfg.Period || startOf(u.Incarnation) != startOf(e.Incarnation)
}

// add adds a member that was unknown. Claims of death are dropped, since this VM does not consider the member alive.
func (m *Machine) add(now time.Time, u Update) {
	if u.State == Dead || u.Contact == nil {
		return
	}
	e := &entry{Member: Member{VM: u.VM, Incarnation: u.Incarnation, State: Alive}}
	u.Contact.applyTo(&e.Member)
	m.members[u.VM] = e
	m.live++
	m.insertIntoOrder(u.VM)
	m.emit(Changed{})
	if u.State == Alive {
		m.disseminate(u)
		return
	}
	m.transition(now, e, u)
}

// insertIntoOrder inserts a new member at a random position among those still to be probed in this round.
func (m *Machine) insertIntoOrder(vm string) {
	at := m.next + m.rng.IntN(len(m.order)-m.next+1)
	m.order = append(m.order, "")
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = vm
}

// advance moves a member to a later incarnation.
func (m *Machine) advance(now time.Time, e *entry, u Update) {
	if u.Contact != nil {
		u.Contact.applyTo(&e.Member)
	}
	wasDead := e.State == Dead
	e.Incarnation = u.Incarnation
	e.suspicion = nil
	if u.State == Dead {
		m.markDead(now, e)
		e.hasLeft = e.hasLeft || isSelfAnnounced(u)
		m.disseminate(u)
		return
	}
	e.State = Alive
	e.hasLeft = false
	if wasDead {
		m.live++
		m.insertIntoOrder(e.VM)
	}
	m.emit(Changed{})
	if u.State == Alive {
		m.disseminate(u)
		return
	}
	m.transition(now, e, u)
}

// transition moves a member to a later state of the same incarnation.
func (m *Machine) transition(now time.Time, e *entry, u Update) {
	switch u.State {
	case Suspect:
		m.suspect(now, e, u.Reporter)
		return
	case Leaving:
		e.State = Leaving
		e.suspicion = nil
		m.emit(Changed{})
	case Dead:
		m.markDead(now, e)
		e.hasLeft = e.hasLeft || isSelfAnnounced(u)
	}
	m.disseminate(u)
}

// applyToSelf refutes claims that this VM is suspect or dead, and claims about an earlier start of its process.
func (m *Machine) applyToSelf(u Update) {
	switch {
	case m.left:
		return
	case u.Incarnation < m.self.Incarnation:
		m.repeatRefutation(u)
		return
	case m.isFromEarlierStart(u):
	case u.Incarnation == m.self.Incarnation && u.State != Suspect && u.State != Dead:
		return
	}
	if m.isFromEarlierStart(u) {
		m.self.Incarnation = nextStart(u.Incarnation)
	} else {
		m.self.Incarnation = u.Incarnation + 1
		// Others missed this VM's acks, so this VM may be the slow one.
		m.degrade(1)
	}
	m.emit(Changed{})
	m.announceSelf()
}

// isFromEarlierStart reports whether a claim about this VM concerns an earlier start of its process whose
// incarnation is not below the present one because the clock was set back in between. Two starts can even
// have the same incarnation when the clock was set back; their contacts differ.
func (m *Machine) isFromEarlierStart(u Update) bool {
	return startOf(u.Incarnation) > startOf(m.self.Incarnation) ||
		u.Incarnation == m.self.Incarnation && u.Contact != nil && *u.Contact != *contactOf(m.self)
}

// repeatRefutation answers a claim that was already refuted: the sender did not receive the refutation.
func (m *Machine) repeatRefutation(u Update) {
	if u.State != Suspect && u.State != Dead {
		return
	}
	if !m.queue.has(m.self.VM) {
		m.announceSelf()
	}
}

// announceSelf disseminates this VM's own state, with its contact in the first incarnation since the start.
func (m *Machine) announceSelf() {
	m.queue.add(m.selfUpdate())
}

func (m *Machine) selfUpdate() Update {
	u := Update{VM: m.self.VM, Incarnation: m.self.Incarnation, State: m.self.State}
	if u.State != Dead && u.Incarnation == startOf(u.Incarnation)<<refutationBits {
		u.Contact = contactOf(m.self)
	}
	if u.State == Dead {
		u.Reporter = m.self.VM
	}
	return u
}

func (m *Machine) startLeave() {
	if m.left || m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.emit(Changed{})
	m.announceSelf()
}

// finishLeave gossips at once, since this VM will not gossip again.
func (m *Machine) finishLeave() {
	if m.left {
		return
	}
	m.self.State = Dead
	m.announceSelf()
	m.gossip()
	m.left = true
}
