package member

import "time"

func (m *Machine) received(now time.Time, e Received) {
	if m.left || e.From == m.self.VM {
		return
	}
	for _, u := range e.Message.Updates {
		m.apply(now, u)
	}
	m.revisionHeard(e.Message.Revision, e.From)
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
	m.meet(now, e)
}

// meet compares states with a sender that is no member here: it has started, was cut off or was forgotten.
func (m *Machine) meet(now time.Time, e Received) {
	sender := m.members[e.From]
	if sender != nil && sender.State != Dead || now.Before(m.nextMeet) {
		return
	}
	m.nextMeet = now.Add(m.meetPeriod(now))
	m.emit(Sync{To: e.Address})
}

// meetPeriod bounds the comparisons that unknown senders cause.
func (m *Machine) meetPeriod(now time.Time) time.Duration {
	if now.Before(m.joinUntil) {
		return m.cfg.JoinPeriod
	}
	return m.cfg.RejoinPeriod
}

// apply merges one claim.
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
		m.dispute(e, u.Incarnation)
		return
	}
	if u.State == Dead && !isOwnWord(u) && !e.suspicion.couldBeRefuted(now) {
		// The sender may have been cut off, and the member knows nothing of the claim.
		u.State = Suspect
	}
	if u.Contact == nil && startOf(u.Incarnation) != startOf(e.Incarnation) {
		// The contact of that start is not known here. Comparing states brings it.
		return
	}
	switch {
	case u.Incarnation > e.Incarnation:
		m.advance(now, e, u)
	case u.Incarnation == e.Incarnation && u.State == Suspect:
		if e.State <= Suspect {
			m.suspect(now, e, u.Accuser)
		}
	case u.Incarnation == e.Incarnation && u.State > e.State:
		m.transition(now, e, u)
	}
}

// isOwnWord reports whether a VM's death was announced by the VM itself, when it had left.
func isOwnWord(u Update) bool { return u.State == Dead && u.Accuser == u.VM }

// mayBeOutdated reports whether a claim of death may be refuted by now: it has waited in this VM's
// socket during a pause, or concerns another start of the process than the one known here, whose
// clock may have been set back since.
func (m *Machine) mayBeOutdated(now time.Time, e *entry, u Update) bool {
	return now.Sub(m.resumed) < m.cfg.Period || startOf(u.Incarnation) != startOf(e.Incarnation)
}

// add takes in a member that was unknown. Claims of death are not kept: nobody here holds the member for alive.
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
		m.spread(u)
		return
	}
	m.transition(now, e, u)
}

// insertIntoOrder puts a new member at a random place among those that are still to be probed in this round.
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
		m.die(now, e)
		e.hasLeft = e.hasLeft || isOwnWord(u)
		m.spread(u)
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
		m.spread(u)
		return
	}
	m.transition(now, e, u)
}

// transition moves a member to a later state of the same incarnation.
func (m *Machine) transition(now time.Time, e *entry, u Update) {
	switch u.State {
	case Suspect:
		m.suspect(now, e, u.Accuser)
		return
	case Leaving:
		e.State = Leaving
		e.suspicion = nil
		m.emit(Changed{})
	case Dead:
		m.die(now, e)
		e.hasLeft = e.hasLeft || isOwnWord(u)
	}
	m.spread(u)
}

// applyToSelf refutes claims that this VM is suspect or dead, and those of an earlier start.
func (m *Machine) applyToSelf(u Update) {
	switch {
	case m.left:
		return
	case u.Incarnation < m.self.Incarnation:
		m.repeatRefutation(u)
		return
	case m.isFormerLife(u):
	case u.Incarnation == m.self.Incarnation && u.State != Suspect && u.State != Dead:
		return
	}
	if m.isFormerLife(u) {
		m.self.Incarnation = nextStart(u.Incarnation)
	} else {
		m.self.Incarnation = u.Incarnation + 1
		// Others missed this VM's acks: it may be the slow one.
		m.degrade(1)
	}
	m.emit(Changed{})
	m.announceSelf()
}

// isFormerLife reports whether a claim about this VM stems from an earlier start of its process, whose
// incarnation is not below this one because the clock was set back in between. Two starts that were
// both set back can even have the same incarnation; their contacts tell them apart.
func (m *Machine) isFormerLife(u Update) bool {
	return startOf(u.Incarnation) > startOf(m.self.Incarnation) ||
		u.Incarnation == m.self.Incarnation && u.Contact != nil && *u.Contact != *contactOf(m.self)
}

// repeatRefutation answers a claim that was refuted already: the sender missed the refutation.
func (m *Machine) repeatRefutation(u Update) {
	if u.State != Suspect && u.State != Dead {
		return
	}
	if !m.queue.has(m.self.VM) {
		m.announceSelf()
	}
}

// announceSelf spreads this VM's own state, with its contact when it is in its first incarnation since the start.
func (m *Machine) announceSelf() {
	m.queue.add(m.selfUpdate())
}

func (m *Machine) selfUpdate() Update {
	u := Update{VM: m.self.VM, Incarnation: m.self.Incarnation, State: m.self.State}
	if u.State != Dead && u.Incarnation == startOf(u.Incarnation)<<refutationBits {
		u.Contact = contactOf(m.self)
	}
	if u.State == Dead {
		u.Accuser = m.self.VM
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

// finishLeave tells random members directly, since this VM will not gossip again.
func (m *Machine) finishLeave() {
	if m.left {
		return
	}
	m.self.State = Dead
	m.announceSelf()
	m.gossip()
	m.left = true
}
