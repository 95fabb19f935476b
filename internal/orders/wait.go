package orders

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// requestsPollInterval is the time between checks of a target that still runs requests for its previous model.
const requestsPollInterval = time.Second

// weightsRetryInterval is the time after a failure before the weight store is queried again.
const weightsRetryInterval = 2 * time.Second

// waitBefore returns how long to wait before an order may be sent, zero if it may be sent now. Loading a
// model replaces the previous one, so it waits for the previous model's requests to end and for the weight store.
func (s *Service) waitBefore(ctx context.Context, m *managedTarget, t *settings.Target, o order.Order) time.Duration {
	if o.Kind != order.LoadModel {
		return 0
	}
	if m.replacesModel() {
		if wait := s.waitForRequests(ctx, m, t); wait > 0 {
			return wait
		}
	}
	return s.waitForWeights(ctx, o.Name)
}

func (s *Service) waitForRequests(ctx context.Context, m *managedTarget, t *settings.Target) time.Duration {
	if remaining := s.config.SwitchDelay - time.Since(m.desiredChangedAt()); remaining > 0 {
		return remaining
	}
	load, err := s.config.Engine.Load(ctx, t.Address)
	if err != nil || load.Running+load.Waiting > 0 {
		return requestsPollInterval
	}
	return 0
}

// waitForWeights returns how long to wait before the engine may load the model, whose weights it downloads
// itself: the time that the weight store's rate limit requires, or weightsRetryInterval if the lookup failed.
func (s *Service) waitForWeights(ctx context.Context, model string) time.Duration {
	weight, err := s.config.Weights.Describe(ctx, model)
	if err != nil {
		s.config.Log.Debug().Err(err).Str("model", model).Msg("weight store lookup failed; model load deferred")
		return weightsRetryInterval
	}
	return weight.RetryAfter
}
