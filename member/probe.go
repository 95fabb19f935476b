package member

import (
	"maps"
	"slices"
	"time"
)

// probe is the probe in progress, or the pause before the next one.
type probe struct {
	sequence uint64
	// vm is the probed VM. Empty means that no probe is in progress.
	vm string
	// relayAt is when indirect probes are sent, if no ack has come. Zero once they are sent.
	relayAt time.Time
	// end is when the probe fails and the next one starts.
	end time.Time
	// relays is the number of indirect probes sent, nacks the number of those answered with a nack.
	relays, nacks int
}

func (p *probe) nextDeadline() time.Time {
	if p.vm != "" && !p.relayAt.IsZero() {
		return p.relayAt
	}
	return p.end
}

// abandon ends a probe without a result. The next one starts at now.
func (p *probe) abandon(now time.Time) { *p = probe{end: now} }

// relay is an indirect probe on behalf of another member.
type relay struct {
	address  string
	sequence uint64
	deadline time.Time
}

func (m *Machine) runProbe(now time.Time) {
	if m.probe.vm != "" && !m.probe.relayAt.IsZero() && !now.Before(m.probe.relayAt) {
		m.probeIndirectly()
	}
	if now.Before(m.probe.end) {
		return
	}
	if m.probe.vm != "" {
		m.probeFailed(now)
	}
	m.startProbe(now)
}

func (m *Machine) startProbe(now time.Time) {
	m.probe = probe{end: now.Add(m.scaled(m.cfg.Period))}
	target := m.nextTarget()
	if target == nil {
		return
	}
	m.sequence++
	m.probe.vm = target.VM
	m.probe.sequence = m.sequence
	m.probe.relayAt = now.Add(m.scaled(m.cfg.AckTimeout))
	m.send(target.EntryPeers, target.VM, Message{Kind: KindProbe, Sequence: m.sequence, Subject: target.VM})
}

// nextTarget returns the next member to probe: round-robin, in an order shuffled for each round.
func (m *Machine) nextTarget() *entry {
	for range 2 {
		for m.next < len(m.order) {
			e := m.members[m.order[m.next]]
			m.next++
			if e != nil && e.State != Dead {
				return e
			}
		}
		m.shuffleOrder()
	}
	return nil
}

func (m *Machine) shuffleOrder() {
	m.order = m.order[:0]
	for vm, e := range m.members {
		if e.State != Dead {
			m.order = append(m.order, vm)
		}
	}
	// Sorting makes the result depend on rng alone and not on the map's iteration order.
	slices.Sort(m.order)
	m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	m.next = 0
}

// probeNext inserts an additional probe of a member at the front of the order.
func (m *Machine) probeNext(vm string) {
	m.order = slices.Insert(m.order, m.next, vm)
}

func (m *Machine) probeIndirectly() {
	m.probe.relayAt = time.Time{}
	target := m.members[m.probe.vm]
	if target == nil {
		return
	}
	m.emit(VerifyConnection{Address: target.EntryPeers})
	for _, e := range m.randomMembers(m.cfg.IndirectProbes, target.VM) {
		m.probe.relays++
		m.send(e.EntryPeers, e.VM, Message{
			Kind:     KindIndirectProbe,
			Sequence: m.probe.sequence,
			Subject:  target.VM,
			Address:  target.EntryPeers,
		})
	}
}

// probeFailed suspects the probed member, and worsens the local health score for each relay that sent no nack, or by
// one if no relay was asked.
func (m *Machine) probeFailed(now time.Time) {
	missing := m.probe.relays - m.probe.nacks
	if m.probe.relays == 0 {
		missing = 1
	}
	m.degrade(missing)
	e := m.members[m.probe.vm]
	m.probe.vm = ""
	if e != nil {
		m.suspect(now, e, m.self.VM)
	}
}

func (m *Machine) ackReceived(sequence uint64) {
	if r, ok := m.relays[sequence]; ok {
		delete(m.relays, sequence)
		m.send(r.address, "", Message{Kind: KindAck, Sequence: r.sequence})
		return
	}
	if m.probe.vm == "" || m.probe.sequence != sequence {
		return
	}
	if e := m.members[m.probe.vm]; e != nil && e.State == Leaving {
		e.suspicion = nil
	}
	m.probe.vm = ""
	m.recover()
}

func (m *Machine) relayProbe(now time.Time, e Received) {
	m.sequence++
	m.relays[m.sequence] = relay{address: e.Address, sequence: e.Message.Sequence, deadline: now.Add(m.cfg.AckTimeout)}
	m.send(e.Message.Address, e.Message.Subject, Message{Kind: KindProbe, Sequence: m.sequence, Subject: e.Message.Subject})
}

func (m *Machine) expireRelays(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(m.relays)) {
		r := m.relays[sequence]
		if now.Before(r.deadline) {
			continue
		}
		delete(m.relays, sequence)
		m.send(r.address, "", Message{Kind: KindNack, Sequence: r.sequence})
	}
}

func (m *Machine) nackReceived(sequence uint64) {
	if m.probe.vm != "" && m.probe.sequence == sequence {
		m.probe.nacks++
	}
}

// randomMembers returns up to count members that are not dead, excluding the named one.
func (m *Machine) randomMembers(count int, without string) []*entry {
	names := make([]string, 0, len(m.members))
	for vm, e := range m.members {
		if e.State != Dead && vm != without {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	chosen := make([]*entry, 0, count)
	for _, vm := range names[:min(count, len(names))] {
		chosen = append(chosen, m.members[vm])
	}
	return chosen
}
