package scheduling

import (
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// candidate is the VM that coordinates a service.
type candidate struct {
	VM      string
	address netip.AddrPort
}

// coordinator returns the coordinator of a service: of the VMs that are not passed over, the one with the
// highest rank. Suspects and leaving VMs are taken only if there is no other, and this VM while it has not read the
// registry of targets.
func (s *Service) coordinator(now time.Time, service string) candidate {
	self := s.config.Members.Self()
	best := candidate{VM: self.VM}
	bestTier, bestRank := tier(self), target.Rank(service, self.VM)
	if !s.registered {
		bestTier = tierUnable
	}
	for _, m := range s.config.Members.Members() {
		if m.VM == self.VM || s.distrusted(now, m.VM) {
			continue
		}
		t, rank := tier(m), target.Rank(service, m.VM)
		if t > bestTier || t == bestTier && rank <= bestRank {
			continue
		}
		address, ok := peerAddress(m)
		if !ok {
			continue
		}
		best, bestTier, bestRank = candidate{VM: m.VM, address: address}, t, rank
	}
	return best
}

// tierUnable comes after those of all members.
const tierUnable = 3

// tier orders members by how far they can be relied on, the best first.
func tier(m member.Member) int {
	switch m.State {
	case member.Alive:
		return 0
	case member.Suspect:
		return 1
	default:
		return 2
	}
}

func (s *Service) distrusted(now time.Time, vm string) bool {
	d := s.distrust[vm]
	return d != nil && now.Before(d.until)
}

// passOver makes the next VM in rank the coordinator for a while.
func (s *Service) passOver(now time.Time, vm, reason string) {
	d := s.distrust[vm]
	if d == nil {
		d = &distrust{next: distrustFor}
		s.distrust[vm] = d
	}
	if now.Before(d.until) {
		return
	}
	d.until = now.Add(d.next)
	s.config.Log.Warn().Str("coordinator", vm).Str("reason", reason).Dur("for_ms", d.next).Msg("coordinator is passed over, the next one is used")
	d.next = min(2*d.next, maxDistrust)
	s.sentReports[vm] = 0
}

// heardFrom notes that a coordinator answers.
func (s *Service) heardFrom(vm string) {
	s.sentReports[vm] = 0
	if d := s.distrust[vm]; d != nil {
		delete(s.distrust, vm)
		s.config.Log.Info().Str("coordinator", vm).Msg("coordinator answers again")
	}
}

func (s *Service) register() {
	handle(s, methodSubmit, s.onSubmit)
	handle(s, methodRelease, func(_ peer.Identity, m releaseMessage) {
		s.carryOut(s.scheduler.Release(time.Now(), m.Ticket, m.Outcome, m.FirstEvent))
	})
	handle(s, methodReport, s.onReport)
	handle(s, methodAlive, func(from peer.Identity, m aliveMessage) {
		s.heardFrom(from.VM)
		s.unknown(from.VM, m.Unknown)
	})
	handle(s, methodQueued, func(from peer.Identity, m ticketMessage) {
		s.heardFrom(from.VM)
		s.answer(m.Sequence, answer{from: from.VM})
	})
	handle(s, methodGrant, func(from peer.Identity, m grantMessage) {
		s.heardFrom(from.VM)
		s.granted(from.VM, m)
	})
	handle(s, methodRefuse, func(from peer.Identity, m refuseMessage) {
		if m.Reason != scheduler.NoRegistry {
			s.heardFrom(from.VM)
		}
		s.refused(from.VM, m)
	})
	handle(s, methodYield, func(_ peer.Identity, m ticketMessage) { s.yield(m.Sequence) })
}

// handle registers a handler, which runs under the service's lock.
func handle[T any](s *Service, method peer.Method, run func(from peer.Identity, message T)) {
	s.config.Node.HandleMessage(method, func(from peer.Identity, decode func(any) error) {
		var message T
		if err := decode(&message); err != nil {
			s.config.Log.Warn().Err(err).Str("from", from.VM).Str("method", string(method)).Msg("message cannot be decoded")
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		run(from, message)
	})
}

func (s *Service) onSubmit(from peer.Identity, m submitMessage) {
	now := time.Now()
	s.note(now, m.Ticket.VM, from.Address)
	if !s.registered {
		s.send(from.Address, methodRefuse, refuseMessage{Sequence: m.Ticket.Sequence, Reason: scheduler.NoRegistry, RetryAfter: noRegistryRetry})
		return
	}
	actions := s.scheduler.Submit(now, m.request(now))
	if !concerns(actions, m.Ticket) {
		s.send(from.Address, methodQueued, ticketMessage{Sequence: m.Ticket.Sequence})
	}
	s.carryOut(actions)
}

func (s *Service) onReport(from peer.Identity, m reportMessage) {
	if !s.registered {
		// It coordinates nothing yet, and must not be taken for one that does.
		return
	}
	now := time.Now()
	s.note(now, m.VM, from.Address)
	actions, unknown := s.scheduler.Report(now, m.VM, m.Runs, m.Waits)
	s.carryOut(actions)
	s.send(from.Address, methodAlive, aliveMessage{Unknown: unknown})
}

func concerns(actions []scheduler.Action, ticket scheduler.Ticket) bool {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Grant:
			if a.Ticket == ticket {
				return true
			}
		case scheduler.Refuse:
			if a.Ticket == ticket {
				return true
			}
		}
	}
	return false
}

// note keeps the address of a VM that uses this coordinator.
func (s *Service) note(now time.Time, vm string, address netip.AddrPort) {
	r := s.vms[vm]
	if r == nil {
		r = &reporter{}
		s.vms[vm] = r
	}
	r.address, r.heard = address, now
}

// carryOut tells the VMs what the scheduler has decided.
func (s *Service) carryOut(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			message := grantMessage{Sequence: a.Ticket.Sequence, Target: a.Target, Address: a.Address}
			s.tell(a.Ticket, methodGrant, message, func() { s.granted(s.config.Members.Self().VM, message) })
		case scheduler.Refuse:
			message := refuseMessage{Sequence: a.Ticket.Sequence, RetryAfter: a.RetryAfter, Reason: a.Reason, Ahead: a.Ahead, Slots: a.Slots}
			s.tell(a.Ticket, methodRefuse, message, func() { s.refused(s.config.Members.Self().VM, message) })
		case scheduler.Preempt:
			s.tell(a.Ticket, methodYield, ticketMessage{Sequence: a.Ticket.Sequence}, func() { s.yield(a.Ticket.Sequence) })
		}
	}
}

// tell sends a message to the VM of a ticket, or runs local if that is this one.
func (s *Service) tell(ticket scheduler.Ticket, method peer.Method, message any, local func()) {
	if ticket.VM == s.config.Process {
		local()
		return
	}
	if r := s.vms[ticket.VM]; r != nil {
		s.send(r.address, method, message)
	}
}

func peerAddress(m member.Member) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(m.EntryPeers)
	return address, err == nil
}
