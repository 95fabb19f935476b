package scheduling

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/ratelimit"
)

// ObserveRateLimit records how many requests a second a target states that it accepts from all VMs together. Zero means no
// limit.
func (s *Service) ObserveRateLimit(target string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limits.Record(target, ratelimit.Statement{PerSecond: perSecond, At: time.Now()}) {
		return
	}
	s.config.Log.Info().Str("target", target).Float64("per_second", perSecond).Msg("target states a rate limit; 0 means that it has none any more")
}

// logLimited logs that this VM may send a request to a target that states a rate limit.
func (s *Service) logLimited(slot *Slot) {
	if statement, known := s.limits.Of(slot.Target); known && statement.PerSecond > 0 {
		s.config.Log.Info().Str("target", slot.Target).Float64("per_second", statement.PerSecond).Dur("stated_ms", time.Since(statement.At)).
			Str("coordinator", slot.coordinator).Uint8("class", uint8(slot.request.Class)).Msg("slot granted on a target that states a rate limit")
	}
}
