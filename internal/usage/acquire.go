package usage

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

// Acquire counts one request of an account. It fails with *OverLimitError, which says when to return, or with the error
// of ctx. It sends nothing for an account without a limit.
func (s *Service) Acquire(ctx context.Context, a *account.Account) error {
	if a == nil || !a.Limit.Limited() {
		return nil
	}
	started := time.Now()
	s.mu.Lock()
	question := s.newQuestion(a)
	o := s.order(a.Name)
	if o.VMs[0].VM == s.vm {
		answer := s.countOwn(started, question)
		s.mu.Unlock()
		return s.conclude(a, started, answer)
	}
	answers := make(chan answerMessage, maxAsks)
	s.pending[question.ID.Sequence] = answers
	s.mu.Unlock()
	answer, err := s.ask(ctx, o, question, answers)
	s.mu.Lock()
	delete(s.pending, question.ID.Sequence)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.conclude(a, started, answer)
}

func (s *Service) newQuestion(a *account.Account) askMessage {
	_, version := s.config.Accounts()
	return askMessage{ID: s.nextID(), Account: a.Name, Version: version, PerSecond: a.Limit.PerSecond, Burst: a.Limit.Burst}
}

// ask asks the first VM in rank twice and the next one once. If none answers, this VM counts.
func (s *Service) ask(ctx context.Context, o *order, question askMessage, answers <-chan answerMessage) (answerMessage, error) {
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	asked := 0
	for attempt := range maxAsks {
		index := min(attempt/2, len(o.VMs)-1)
		if o.VMs[index].VM == s.vm {
			break
		}
		asked = index + 1
		s.send(o.addresses[index], methodAsk, question)
		timer.Reset(askInterval)
		select {
		case <-ctx.Done():
			// The request will not run.
			s.cancel(o, asked, question, "")
			return answerMessage{}, ctx.Err()
		case answer := <-answers:
			if answer.Outcome == unknownAccount {
				s.cancel(o, asked, question, s.vm)
				return s.countAlone(question), nil
			}
			s.cancel(o, asked, question, answer.CountedBy)
			return answer, nil
		case <-timer.C:
			s.recordUnanswered(o.VMs[index].VM)
		}
	}
	s.cancel(o, asked, question, s.vm)
	return s.countAfter(o, asked, question), nil
}

// cancel tells the VMs that were asked, except the one that counted, that the request must not be counted.
func (s *Service) cancel(o *order, asked int, question askMessage, countedBy string) {
	if asked < 2 && countedBy != "" && countedBy != s.vm {
		// Only one VM was asked, and it counted or had another VM count.
		return
	}
	for i, m := range o.VMs[:asked] {
		if m.VM != countedBy {
			s.send(o.addresses[i], methodCancel, requestMessage{ID: question.ID, Account: question.Account})
		}
	}
}

// countAfter counts here because the VMs that were asked did not answer. If this VM is the next in rank, it counts for
// all VMs, and otherwise only its own part.
func (s *Service) countAfter(o *order, asked int, question askMessage) answerMessage {
	if asked < len(o.VMs) && o.VMs[asked].VM == s.vm {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.countOwn(time.Now(), question)
	}
	return s.countAlone(question)
}

// countOwn counts a request of this VM here, for all VMs. The account may have been removed since the request was
// authenticated; its part of the limit binds then.
func (s *Service) countOwn(now time.Time, question askMessage) answerMessage {
	answer := s.count(now, question, false)
	if answer.Outcome == unknownAccount {
		answer = s.count(now, question, true)
	}
	return answer
}

// countAlone counts here a part of the limit that this VM may allow without asking.
func (s *Service) countAlone(question askMessage) answerMessage {
	fallbackTotal.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(time.Now(), question, true)
}

// Return gives back a counted request that has not run.
func (s *Service) Return(a *account.Account) {
	if a == nil || !a.Limit.Limited() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, o := s.nextID(), s.order(a.Name)
	if o.VMs[0].VM == s.vm {
		s.buckets.Return(time.Now(), id, a.Name)
		return
	}
	s.send(o.addresses[0], methodReturn, requestMessage{ID: id, Account: a.Name})
}

// conclude turns an answer into the result of Acquire.
func (s *Service) conclude(a *account.Account, started time.Time, answer answerMessage) error {
	if answer.Outcome != refused {
		allowedTotal.Inc()
		return nil
	}
	refusedTotal.Inc()
	now := time.Now()
	err := &OverLimitError{
		Account:    a.Name,
		Limit:      answer.limit(),
		CountedBy:  answer.CountedBy,
		Tokens:     answer.Tokens,
		Age:        now.Sub(started),
		RetryAfter: answer.RetryAfter,
	}
	s.recordRefusal(now, err)
	return err
}

// episode is a time in which requests of an account are refused.
type episode struct {
	since, last time.Time
	refused     int
}

// recordRefusal logs the first refusal of an episode.
func (s *Service) recordRefusal(now time.Time, e *OverLimitError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.episodes[e.Account]
	if p == nil {
		if len(s.episodes) >= maxEpisodes {
			return
		}
		p = &episode{since: now}
		s.episodes[e.Account] = p
		s.config.Log.Warn().Str("account", e.Account).Float64("per_second", e.Limit.PerSecond).Float64("burst", e.Limit.Burst).
			Str("counted_by", e.CountedBy).Float64("tokens", e.Tokens).Dur("answer_age_ms", e.Age).Dur("retry_after_ms", e.RetryAfter).
			Msg("account is beyond its usage limit; requests get status 429")
	}
	p.last = now
	p.refused++
}

// endEpisodes logs the end of episodes in which no request was refused for a Window.
func (s *Service) endEpisodes(now time.Time) {
	for name, p := range s.episodes {
		if now.Sub(p.last) > usage.Window {
			delete(s.episodes, name)
			s.config.Log.Info().Str("account", name).Int("refused", p.refused).Dur("for_ms", p.last.Sub(p.since)).
				Msg("requests of the account are no longer refused for its usage limit")
		}
	}
}
