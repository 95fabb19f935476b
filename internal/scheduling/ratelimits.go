package scheduling

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// ObserveRateLimit records how many requests a second a target states that it accepts from all VMs together, and tells its
// coordinator. Zero means no limit.
func (s *Service) ObserveRateLimit(target string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	statement := ratelimit.Statement{PerSecond: perSecond, At: now}
	changed := s.limits.Record(target, statement)
	if _, known := s.limits.Of(target); !known {
		return
	}
	message := newRateLimitMessage(now, target, statement)
	// This VM may become the coordinator.
	s.applyRateLimit(now, s.vm, message)
	if !changed {
		return
	}
	s.config.Log.Info().Str("target", target).Float64("per_second", perSecond).Msg("target states a rate limit; 0 means that it has none any more")
	if key := s.division.Of(target); key != "" {
		if c := s.coordinator(now, key); c.VM != s.vm {
			s.send(c.address, methodRateLimit, message)
		}
	}
}

// applyRateLimit makes this VM's scheduler keep to a limit that a VM was told of.
func (s *Service) applyRateLimit(now time.Time, from string, m rateLimitMessage) {
	actions, changed := s.scheduler.ObserveRateLimit(now, m.Target, m.statement(now))
	s.execute(actions)
	if !changed {
		return
	}
	if key := s.division.Of(m.Target); key != "" && s.coordinator(now, key).VM == s.vm {
		s.config.Log.Info().Str("target", m.Target).Float64("per_second", m.PerSecond).Str("from", from).Dur("age_ms", m.Age).
			Msg("requests of all VMs to a target are limited to this rate from now on; 0 means not any more")
	}
}

// maxReportedLimits bounds the statements in one message.
const maxReportedLimits = 32

// rateLimitsOf returns the statements of a group's targets that this VM has received, the newest first.
func (s *Service) rateLimitsOf(now time.Time, key string) []rateLimitMessage {
	var messages []rateLimitMessage
	for _, target := range s.limits.Recent(now) {
		if s.division.Of(target) == key && len(messages) < maxReportedLimits {
			statement, _ := s.limits.Of(target)
			messages = append(messages, newRateLimitMessage(now, target, statement))
		}
	}
	return messages
}

// restoreRateLimits applies the statements that this VM has received to targets that its scheduler knows since then only.
func (s *Service) restoreRateLimits(now time.Time) {
	for _, target := range s.limits.Recent(now) {
		statement, _ := s.limits.Of(target)
		s.applyRateLimit(now, s.vm, newRateLimitMessage(now, target, statement))
	}
}

// forgetRateLimits drops the statements of target processes that are gone.
func (s *Service) forgetRateLimits(targets []routing.Target) {
	starts := make(map[string]int64, len(targets))
	for _, t := range targets {
		starts[t.ID] = t.StartedUnixMilli
	}
	for id, started := range s.starts {
		if current, listed := starts[id]; !listed || current != started {
			s.limits.Forget(id)
		}
	}
	s.starts = starts
}

// logLimited logs that this VM may send a request to a target that states a rate limit.
func (s *Service) logLimited(slot *Slot) {
	if statement, known := s.limits.Of(slot.Target); known && statement.PerSecond > 0 {
		s.config.Log.Info().Str("target", slot.Target).Float64("per_second", statement.PerSecond).Dur("stated_ms", time.Since(statement.At)).
			Str("coordinator", slot.coordinator).Bool("item", slot.request.Class == scheduler.Item).Msg("slot granted on a target that states a rate limit")
	}
}
