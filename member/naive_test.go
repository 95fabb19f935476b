package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// naiveView is the common part of the naive versions: a table of members, and a probe of all seeds at the start.
type naiveView struct {
	self    Member
	rng     *rand.Rand
	wake    time.Time
	members map[string]Member
	actions []Action
}

func newNaiveView(self Member, rng *rand.Rand, now time.Time) naiveView {
	self.State = Alive
	return naiveView{self: self, rng: rng, wake: now.Add(time.Second), members: map[string]Member{}}
}

func (v *naiveView) Wake() time.Time { return v.wake }
func (v *naiveView) Self() Member    { return v.self }
func (v *naiveView) Digest() uint64  { return 0 }

func (v *naiveView) Members() []Member {
	members := []Member{v.self}
	for _, m := range v.members {
		if m.State != Dead {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, byVM)
	return members
}

func (v *naiveView) Snapshot() []Member { return v.Members() }

func (v *naiveView) send(to string, kind Kind, updates ...Update) {
	v.actions = append(v.actions, Send{To: to, Message: Message{Kind: kind, Updates: updates}})
}

func (v *naiveView) contactSeeds(addresses []string) {
	for _, address := range addresses {
		if address != v.self.EntryPeers {
			v.send(address, KindProbe, v.selfUpdate())
		}
	}
}

func (v *naiveView) selfUpdate() Update {
	return Update{VM: v.self.VM, Incarnation: v.self.Incarnation, State: Alive, Contact: contactOf(v.self)}
}

// apply keeps the later of two claims.
func (v *naiveView) apply(u Update) {
	old, known := v.members[u.VM]
	switch {
	case u.VM == v.self.VM,
		known && u.Incarnation < old.Incarnation,
		known && u.Incarnation == old.Incarnation && u.State <= old.State:
		return
	}
	m := Member{VM: u.VM, Incarnation: u.Incarnation, State: u.State}
	if u.Contact != nil {
		u.Contact.applyTo(&m)
	} else {
		contactOf(old).applyTo(&m)
	}
	v.members[u.VM] = m
	v.actions = append(v.actions, Changed{})
}

func (v *naiveView) sortedNames() []string { return slices.Sorted(maps.Keys(v.members)) }

// naiveHeartbeats sends a heartbeat to every member in every period.
type naiveHeartbeats struct {
	naiveView
	lastHeard map[string]time.Time
}

func makeNaiveHeartbeats(self Member, rng *rand.Rand, now time.Time) protocol {
	return &naiveHeartbeats{naiveView: newNaiveView(self, rng, now), lastHeard: map[string]time.Time{}}
}

// naiveTimeout is the time without messages after which naiveHeartbeats marks a member dead.
const naiveTimeout = 5 * time.Second

func (h *naiveHeartbeats) Handle(now time.Time, event Event) []Action {
	h.actions = nil
	switch e := event.(type) {
	case SeedsFound:
		h.contactSeeds(e.Addresses)
	case Received:
		h.lastHeard[e.From] = now
		for _, u := range e.Message.Updates {
			h.apply(u)
		}
		if e.Message.Kind == KindProbe {
			h.send(e.Address, KindAck, h.selfUpdate())
		}
	case Tick:
		h.wake = now.Add(time.Second)
		for _, vm := range h.sortedNames() {
			m := h.members[vm]
			if m.State == Alive && now.Sub(h.lastHeard[vm]) > naiveTimeout {
				m.State = Dead
				h.members[vm] = m
				h.actions = append(h.actions, Changed{})
			}
			h.send(m.EntryPeers, KindGossip, h.selfUpdate())
		}
	}
	return h.actions
}

// naiveProber probes one random member in every period, marks it dead for good when the ack is missing
// in the next period, and tells all members.
type naiveProber struct {
	naiveView
	probed string
}

func makeNaiveProber(self Member, rng *rand.Rand, now time.Time) protocol {
	return &naiveProber{naiveView: newNaiveView(self, rng, now)}
}

func (p *naiveProber) Handle(now time.Time, event Event) []Action {
	p.actions = nil
	switch e := event.(type) {
	case SeedsFound:
		p.contactSeeds(e.Addresses)
	case Received:
		for _, u := range e.Message.Updates {
			p.apply(u)
		}
		if e.Message.Kind == KindProbe {
			p.send(e.Address, KindAck, p.selfUpdate())
		}
		if e.Message.Kind == KindAck && e.From == p.probed {
			p.probed = ""
		}
	case Tick:
		p.wake = now.Add(time.Second)
		p.declareDead()
		p.probe()
	}
	return p.actions
}

func (p *naiveProber) declareDead() {
	m, ok := p.members[p.probed]
	p.probed = ""
	if !ok || m.State == Dead {
		return
	}
	m.State = Dead
	p.members[m.VM] = m
	p.actions = append(p.actions, Changed{})
	for _, vm := range p.sortedNames() {
		p.send(p.members[vm].EntryPeers, KindGossip, Update{VM: m.VM, Incarnation: m.Incarnation, State: Dead})
	}
}

func (p *naiveProber) probe() {
	var alive []string
	for _, vm := range p.sortedNames() {
		if p.members[vm].State == Alive {
			alive = append(alive, vm)
		}
	}
	if len(alive) == 0 {
		return
	}
	p.probed = alive[p.rng.IntN(len(alive))]
	p.send(p.members[p.probed].EntryPeers, KindProbe, p.selfUpdate())
}
