package scheduling

import (
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// coordinatorVM is the VM that coordinates a group.
type coordinatorVM struct {
	VM      string
	address netip.AddrPort
	at      time.Time
}

const (
	// coordinatorCacheTime is how long the choice of a coordinator is kept while the members and backoffs do not change, because
	// choosing goes through all members.
	coordinatorCacheTime = 5 * time.Second
	// backoffCacheTime is the same while a VM is in backoff, which ends by itself.
	backoffCacheTime = 250 * time.Millisecond
)

// MembersChanged makes the service choose the coordinators anew.
func (s *Service) MembersChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.coordinators)
}

// coordinator returns the coordinator of a group: the best candidate that has not been replaced because it does not
// respond.
func (s *Service) coordinator(now time.Time, key string) coordinatorVM {
	cacheTime := coordinatorCacheTime
	if len(s.backoffs) > 0 {
		cacheTime = backoffCacheTime
	}
	if c, known := s.coordinators[key]; known && now.Sub(c.at) < cacheTime {
		return c
	}
	self := s.config.Members.Self()
	best := coordinatorVM{VM: self.VM, at: now}
	bestCandidate := group.NewCandidate(key, self, s.hasRegistry)
	for _, m := range s.config.Members.Members() {
		if m.VM == self.VM || s.isReplaced(now, m.VM) {
			continue
		}
		candidate := group.NewCandidate(key, m, true)
		if !candidate.Better(bestCandidate) {
			continue
		}
		if address, ok := peerAddress(m); ok {
			best, bestCandidate = coordinatorVM{VM: m.VM, address: address, at: now}, candidate
		}
	}
	s.coordinators[key] = best
	return best
}

func (s *Service) inBackoff(now time.Time, vm string) bool {
	b := s.backoffs[vm]
	return b != nil && now.Before(b.until)
}

// isReplaced reports whether the next VM in rank coordinates instead of this one.
func (s *Service) isReplaced(now time.Time, vm string) bool {
	return s.inBackoff(now, vm) && s.backoffs[vm].replaced
}

// avoids reports whether requests are sent to other groups because the coordinator of this one does not respond.
func (s *Service) avoids(now time.Time, key string) bool {
	return s.inBackoff(now, s.coordinator(now, key).VM)
}

// startBackoff makes this VM avoid a coordinator for a while. If its service has several groups, requests go to another
// one at first: a coordinator that is late because it is overloaded must not be replaced by all VMs at once, since the
// next VM in rank knows nothing of the runs in progress. It is replaced when it does not respond for longer.
func (s *Service) startBackoff(now time.Time, vm, reason string, replace bool) {
	b := s.backoffs[vm]
	if b == nil {
		b = &backoff{next: initialBackoff, replaced: replace}
		s.backoffs[vm] = b
	} else if now.Before(b.until) {
		return
	} else {
		b.replaced = true
	}
	b.until = now.Add(b.next)
	s.config.Log.Warn().Str("coordinator", vm).Str("reason", reason).Dur("for_ms", b.next).Bool("replaced", b.replaced).
		Msg("coordinator is in backoff; using another group, or the next VM in rank if it is replaced")
	b.next = min(2*b.next, maxBackoff)
	s.unansweredReports[vm] = 0
	clear(s.coordinators)
}

// recordResponse records that a coordinator responds, and ends its backoff.
func (s *Service) recordResponse(vm string) {
	s.unansweredReports[vm] = 0
	if s.backoffs[vm] != nil {
		delete(s.backoffs, vm)
		clear(s.coordinators)
		s.config.Log.Info().Str("coordinator", vm).Msg("coordinator responds again; its backoff has ended")
	}
}

func (s *Service) registerHandlers() {
	handle(s, methodSubmit, s.onSubmit)
	handle(s, methodRelease, func(_ peer.Identity, m releaseMessage) {
		s.execute(s.scheduler.Release(time.Now(), m.Ticket, m.Outcome, m.FirstEvent))
	})
	handle(s, methodSilent, func(_ peer.Identity, m silentMessage) {
		s.execute(s.scheduler.ReportSilent(time.Now(), m.Ticket))
	})
	handle(s, methodReport, s.onReport)
	handle(s, methodReportAck, func(from peer.Identity, m reportAckMessage) {
		s.recordResponse(from.VM)
		if s.isOwn(from, methodReportAck, m.Process) {
			s.onUnknown(from.VM, m.Unknown)
		}
	})
	handle(s, methodQueued, func(from peer.Identity, m ticketMessage) {
		s.recordResponse(from.VM)
		if s.isOwn(from, methodQueued, m.Process) {
			s.deliverResponse(m.Sequence, response{from: from.VM})
		}
	})
	handle(s, methodGrant, func(from peer.Identity, m grantMessage) {
		s.recordResponse(from.VM)
		if s.isOwn(from, methodGrant, m.Process) {
			s.onGrant(from.VM, m)
			return
		}
		// The process has ended, so its request does not run.
		s.send(from.Address, methodRelease, releaseMessage{Ticket: scheduler.Ticket{VM: m.Process, Sequence: m.Sequence}, Outcome: scheduler.Abandoned})
	})
	handle(s, methodRefuse, func(from peer.Identity, m refuseMessage) {
		if m.Reason != scheduler.NoRegistry {
			s.recordResponse(from.VM)
		}
		if s.isOwn(from, methodRefuse, m.Process) {
			s.onRefuse(from.VM, m)
		}
	})
	handle(s, methodLoad, func(_ peer.Identity, m loadMessage) { s.onLoad(m) })
	handle(s, methodLeaving, func(_ peer.Identity, m leavingMessage) { s.scheduler.ReportDraining(m.Target, m.StartedUnixMilli) })
	handle(s, methodRateLimit, func(from peer.Identity, m rateLimitMessage) { s.applyRateLimit(time.Now(), from.VM, m) })
	handle(s, methodPreempt, func(from peer.Identity, m ticketMessage) {
		if s.isOwn(from, methodPreempt, m.Process) {
			s.onPreempt(m.Sequence)
		}
	})
}

// isOwn reports whether a coordinator's message is about a request of this process, and not of one that had its address before.
func (s *Service) isOwn(from peer.Identity, method peer.Method, process string) bool {
	if process == "" || process == s.config.Process {
		return true
	}
	otherProcessMessages.Inc()
	s.config.Log.Info().Str("coordinator", from.VM).Str("method", string(method)).Str("process", process).
		Msg("message of a coordinator is for another process, which had this address before; dropped, and a granted slot is released")
	return false
}

// handle registers a handler that runs while the service's mutex is held.
func handle[T any](s *Service, method peer.Method, run func(from peer.Identity, message T)) {
	s.config.Node.HandleMessage(method, func(from peer.Identity, decode func(any) error) {
		var message T
		if err := decode(&message); err != nil {
			s.config.Log.Warn().Err(err).Str("from", from.VM).Str("method", string(method)).Msg("message cannot be decoded; dropped")
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		run(from, message)
	})
}

func (s *Service) onSubmit(from peer.Identity, m submitMessage) {
	now := time.Now()
	s.recordReporter(now, m.Ticket.VM, from.Address)
	if !s.hasRegistry {
		s.send(from.Address, methodRefuse, refuseMessage{Sequence: m.Ticket.Sequence, Process: m.Ticket.VM, Reason: scheduler.NoRegistry, RetryAfter: noRegistryRetry})
		return
	}
	for _, limit := range m.RateLimits {
		s.applyRateLimit(now, from.VM, limit)
	}
	if key, redirected := s.redirect(now, m.request(now), m.Redirects); redirected {
		s.send(from.Address, methodRefuse, newRedirectMessage(m.Ticket, key))
		return
	}
	actions := s.scheduler.Submit(now, m.request(now))
	if !decides(actions, m.Ticket) {
		s.send(from.Address, methodQueued, newTicketMessage(m.Ticket))
	}
	s.execute(actions)
}

func (s *Service) onReport(from peer.Identity, m reportMessage) {
	if !s.hasRegistry {
		// Without the registry this VM does not coordinate, and must not acknowledge reports as if it did.
		return
	}
	now := time.Now()
	s.recordReporter(now, m.VM, from.Address)
	for _, limit := range m.RateLimits {
		s.applyRateLimit(now, from.VM, limit)
	}
	actions, unknown := s.scheduler.Report(now, m.VM, m.Runs, m.Waits)
	s.execute(actions)
	s.send(from.Address, methodReportAck, reportAckMessage{Unknown: unknown, Process: m.VM})
}

func decides(actions []scheduler.Action, ticket scheduler.Ticket) bool {
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

// recordReporter records the address of a VM that uses this coordinator.
func (s *Service) recordReporter(now time.Time, vm string, address netip.AddrPort) {
	r := s.vms[vm]
	if r == nil {
		r = &reporter{}
		s.vms[vm] = r
	}
	r.address, r.lastSeen = address, now
}

// execute sends the scheduler's decisions to the VMs concerned.
func (s *Service) execute(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			message := grantMessage{Sequence: a.Ticket.Sequence, Process: a.Ticket.VM, Target: a.Target, Address: a.Address, Version: a.Version, Group: s.division.Of(a.Target)}
			if a.RateLimit.PerSecond > 0 {
				limit := newRateLimitMessage(time.Now(), a.Target, a.RateLimit)
				message.RateLimit = &limit
			}
			s.deliver(a.Ticket, methodGrant, message, func() { s.onGrant(s.vm, message) })
		case scheduler.Refuse:
			message := refuseMessage{Sequence: a.Ticket.Sequence, Process: a.Ticket.VM, RetryAfter: a.RetryAfter, Reason: a.Reason, Ahead: a.Ahead, Slots: a.Slots, Limited: a.Limited}
			s.deliver(a.Ticket, methodRefuse, message, func() { s.onRefuse(s.vm, message) })
		case scheduler.Ejection:
			s.config.Log.Info().Str("target", a.Target).Str("process", a.VM).Str("reason", a.Reason).Int("usable", a.Usable).
				Msg("target ejected by what this process saw of it; no new requests are granted there until a probe succeeds")
		case scheduler.Observation:
			expectedSlotTime.Update(a.Expected.Seconds())
			observedSlotTime.Update(a.Actual.Seconds())
			if !a.Known {
				unknownCosts.Inc()
			}
		case scheduler.SpeedChange:
			speedChanges.Inc()
			s.config.Log.Info().Str("target", a.Target).Float64("slowdown", a.Slowdown).Float64("slowdown_before", a.Before).
				Float64("slowdown_nearly_full", a.NearlyFull).Int("occupied", a.Occupied).
				Msg("speed of a target changed; requests take this many times as long there as expected")
		case scheduler.Preempt:
			s.deliver(a.Ticket, methodPreempt, newTicketMessage(a.Ticket), func() { s.onPreempt(a.Ticket.Sequence) })
		}
	}
}

// deliver sends a message to the VM of a ticket, or calls local if that is this VM.
func (s *Service) deliver(ticket scheduler.Ticket, method peer.Method, message any, local func()) {
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
