package usage

import (
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

// onAsk counts a request of another VM, or forwards the question if another VM ranks first.
func (s *Service) onAsk(from peer.Identity, m askMessage) {
	now := time.Now()
	if m.Account == "" {
		s.send(from.Address, methodAnswer, answerMessage{ID: m.ID})
		return
	}
	o := s.order(m.Account)
	if first := o.VMs[0]; (first.VM != s.vm || o.Deputy) && !s.buckets.Decided(m.ID) {
		s.askers[from.VM] = now
		if first.VM != s.vm && first.VM != from.VM && !m.Forwarded && s.forward(from.Address, first.VM, o.addresses[0], m) {
			return
		}
	}
	s.send(from.Address, methodAnswer, s.count(now, m, false))
}

// forward passes a question on to the VM that ranks first. The asker cannot reach it, but this VM may. It reports false
// if the question is to be counted here.
func (s *Service) forward(asker netip.AddrPort, vm string, to netip.AddrPort, m askMessage) bool {
	if _, waits := s.forwards[m.ID]; waits {
		return true
	}
	if len(s.forwards) >= maxForwards {
		return false
	}
	s.forwards[m.ID] = forward{asker: asker, to: vm}
	question := m
	question.Forwarded = true
	s.send(to, methodAsk, question)
	time.AfterFunc(forwardTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, waits := s.forwards[m.ID]; !waits {
			return
		}
		delete(s.forwards, m.ID)
		s.unanswered(vm)
		s.send(to, methodCancel, requestMessage{ID: m.ID, Account: m.Account})
		s.send(asker, methodAnswer, s.count(time.Now(), m, false))
	})
	return true
}

// onAnswer passes an answer to the request that waits for it, or to the VM whose question was forwarded.
func (s *Service) onAnswer(from peer.Identity, m answerMessage) {
	s.recordAnswer(from.VM)
	if f, waits := s.forwards[m.ID]; waits {
		delete(s.forwards, m.ID)
		s.send(f.asker, methodAnswer, m)
		return
	}
	if m.ID.Process != s.process {
		return
	}
	if m.Outcome == 0 {
		s.fleet.reach.answered(m.ID.Sequence)
		return
	}
	if answers := s.pending[m.ID.Sequence]; answers != nil {
		select {
		case answers <- m:
		default:
			// The channel holds an answer to an earlier repetition.
		}
	}
}

// count counts a request here. alone means that other VMs may count at the same time, because this one reached none.
func (s *Service) count(now time.Time, m askMessage, alone bool) answerMessage {
	limit, version, known := s.limitOf(m)
	answer := answerMessage{ID: m.ID, Outcome: allowed, CountedBy: s.vm, PerSecond: limit.PerSecond, Burst: limit.Burst}
	switch {
	case !known && !alone:
		answer.Outcome = unknownAccount
		return answer
	case !limit.Limited():
		return answer
	}
	term := s.term(now, m.Account, limit, alone)
	d := s.buckets.Count(now, m.ID, m.Account, limit, version, term)
	if o := s.order(m.Account); !alone && o.VMs[0].VM == s.vm && !o.Deputy {
		s.requestOverdraft(now, m.Account, term)
	}
	answer.PerSecond, answer.Burst, answer.Tokens, answer.RetryAfter = d.Limit.PerSecond, d.Limit.Burst, d.Tokens, d.RetryAfter
	if !d.Allowed {
		answer.Outcome = refused
	}
	return answer
}

// limitOf returns the limit of this VM's configuration, or the one of the question if that is of a newer version. known
// is false if the account was removed; the limit is then the one of the question.
func (s *Service) limitOf(m askMessage) (limit account.Limit, version uint64, known bool) {
	sent := account.Limit{PerSecond: m.PerSecond, Burst: m.Burst}
	directory, version := s.config.Accounts()
	if directory == nil || version < m.Version {
		return sent, m.Version, true
	}
	if a, ok := directory.Lookup(m.Account); ok {
		return a.Limit, version, true
	}
	return sent, m.Version, false
}

// term returns the term in which this VM counts for an account.
func (s *Service) term(now time.Time, name string, limit account.Limit, alone bool) usage.Term {
	o := s.order(name)
	term := o.term
	switch {
	case alone:
		term.Since, term.Takeovers = o.otherwiseSince(now), 1
		term.Share = 1 / float64(s.fleet.counting(now.Sub(s.started), s.config.Expected))
	case o.VMs[0].VM != s.vm:
		term.Since, term.Takeovers = o.otherwiseSince(now), 1
		term.Share = usage.DeputyShare(limit.PerSecond, len(s.askers)+1, s.fleet.reached())
	case o.Deputy:
		term.Share = usage.DeputyShare(limit.PerSecond, len(s.askers)+1, s.fleet.reached())
	default:
		term.Share = s.share(now)
		term.Overdraft = s.usableOverdraft(name)
	}
	if s.fleet.reach.isCutOff(now) {
		term.Share = min(term.Share, s.share(now))
	}
	s.applyOverdraft(now, name, limit, &term)
	return term
}

// share is the part of each limit that this VM may allow at most, since others may count where it can't reach them.
func (s *Service) share(now time.Time) float64 {
	reached, known := s.fleet.reached(), s.fleet.known(now.Sub(s.started), s.config.Expected)
	if s.fleet.reach.isCutOff(now) {
		reached = 1
	}
	return usage.Share(reached, known)
}

// otherwiseSince returns when this VM first counted although it is not the first of the order.
func (o *order) otherwiseSince(now time.Time) time.Time {
	if o.otherwise.IsZero() {
		o.otherwise = now
	}
	return o.otherwise
}
