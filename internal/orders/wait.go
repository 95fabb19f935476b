package orders

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// busyInterval is the time between looks at a target that still runs requests for its former model.
const busyInterval = time.Second

// weightsRetry is the time before the weight store is asked again after a failure.
const weightsRetry = 2 * time.Second

// mustWait returns how long to wait before an order may be sent, zero for not at all. Loading a model
// replaces the one before, so it waits until that one's requests have ended, and for the weight store.
func (s *Service) mustWait(ctx context.Context, k *keeper, t *settings.Target, o order.Order) time.Duration {
	if o.Kind != order.LoadModel {
		return 0
	}
	if k.replacesModel() {
		if wait := s.waitForRequests(ctx, k, t); wait > 0 {
			return wait
		}
	}
	return s.waitForWeights(ctx, o.Name)
}

func (s *Service) waitForRequests(ctx context.Context, k *keeper, t *settings.Target) time.Duration {
	if left := s.config.SwitchDelay - time.Since(k.wantedSince()); left > 0 {
		return left
	}
	load, err := s.config.Engine.Load(ctx, t.Address)
	if err != nil || load.Running+load.Waiting > 0 {
		return busyInterval
	}
	return 0
}

// waitForWeights asks the weight store. A store that does not answer is left to the engine, which
// downloads the weights itself.
func (s *Service) waitForWeights(ctx context.Context, model string) time.Duration {
	weight, err := s.config.Weights.Describe(ctx, model)
	if err != nil {
		s.config.Log.Debug().Err(err).Str("model", model).Msg("the weight store does not describe the model")
		return weightsRetry
	}
	return weight.RetryAfter
}
