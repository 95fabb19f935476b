// Package orders brings managed targets to the state that the settings want. On each VM it looks
// after the targets that the VM owns.
package orders

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// ReadySink is told which model a managed target has loaded.
type ReadySink interface {
	// SetLoaded says that the target serves the model; an empty model means none that is wanted.
	SetLoaded(target, model string)
}

// Config configures a Service.
type Config struct {
	// VM is this VM's name.
	VM string
	// Table keeps the fencing numbers.
	Table platform.Table
	// Weights is asked before a model is loaded; its rate limit defers the order.
	Weights platform.Weights
	// Engine reaches the targets.
	Engine *engine.Client
	// Owned returns the managed targets that this VM owns.
	Owned func() []*settings.Target
	// Ready is told when a target can be used.
	Ready ReadySink
	// Log takes the component's log.
	Log zerolog.Logger

	// Interval is the time between two looks at the owned targets. Default 500ms.
	Interval time.Duration
	// SwitchDelay is the least time for which a loaded model is kept after the settings want another, so that all
	// entries have the new settings and send nothing for the old model. Default 20s, more than the 17s after which
	// an entry with old settings takes no work.
	SwitchDelay time.Duration
	// Reconciler configures the decisions. ChecksFencing is set for each target from its settings.
	Reconciler order.Config
}

// Defaults of Config.
const (
	defaultInterval    = 500 * time.Millisecond
	defaultSwitchDelay = 20 * time.Second
)

var (
	ordersSent   = metrics.NewCounter("rosemarydyke_orders_sent_total")
	ordersFenced = metrics.NewCounter("rosemarydyke_orders_fenced_total")
	orderErrors  = metrics.NewCounter("rosemarydyke_order_errors_total")
)

// Service looks after the managed targets of one VM.
type Service struct {
	config Config
	// holder names this process in fencing rows. It is never used again.
	holder string

	mu      sync.Mutex
	keepers map[string]*keeper
}

// New returns a service that Run starts.
func New(config Config) *Service {
	config.Interval = cmp.Or(config.Interval, defaultInterval)
	config.SwitchDelay = cmp.Or(config.SwitchDelay, defaultSwitchDelay)
	return &Service{
		config:  config,
		holder:  config.VM + "." + ulid.Make().String(),
		keepers: map[string]*keeper{},
	}
}

// Run looks after the owned targets until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	var steps sync.WaitGroup
	defer steps.Wait()
	for {
		for _, k := range s.update() {
			if k.begin() {
				steps.Go(func() { defer k.end(); s.step(ctx, k) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update matches the keepers with the targets that this VM owns now.
func (s *Service) update() []*keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := map[string]bool{}
	now := time.Now()
	for _, t := range s.config.Owned() {
		owned[t.Name] = true
		k := s.keepers[t.Name]
		if k == nil || k.checksFencing != t.ChecksFencing {
			k = newKeeper(t, s.config.Reconciler)
			s.keepers[t.Name] = k
		}
		k.want(t, now)
	}
	for name := range s.keepers {
		if !owned[name] {
			delete(s.keepers, name)
			// Another owner may change what the target serves.
			s.config.Ready.SetLoaded(name, "")
		}
	}
	return slices.Collect(maps.Values(s.keepers))
}

// step carries out one action for a target.
func (s *Service) step(ctx context.Context, k *keeper) {
	action, t := k.next(time.Now())
	switch action.Step {
	case order.Read:
		s.read(ctx, k, t)
	case order.Claim:
		s.claim(ctx, k, t)
	case order.Send:
		s.send(ctx, k, t, action.Order)
	}
	if s.isKept(k) {
		s.config.Ready.SetLoaded(t.Name, k.loaded())
	}
}

// isKept reports whether the keeper's target is still owned.
func (s *Service) isKept(k *keeper) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(slices.Collect(maps.Values(s.keepers)), k)
}

func (s *Service) read(ctx context.Context, k *keeper, t *settings.Target) {
	asked := time.Now()
	state, err := readState(ctx, s.config.Engine, t.Address)
	if err != nil {
		s.failed(k, t, "read the state", err)
		return
	}
	k.update(func(r *order.Reconciler) { r.StateRead(state, asked) })
}

func (s *Service) claim(ctx context.Context, k *keeper, t *settings.Target) {
	sent := time.Now()
	c, err := claimFence(ctx, s.config.Table, t.Name, s.holder, k.newestFence())
	if err != nil {
		s.failed(k, t, "claim a fencing number", err)
		return
	}
	k.update(func(r *order.Reconciler) { r.Claimed(c.fence, sent, time.Now(), c.otherHolder) })
}

func (s *Service) send(ctx context.Context, k *keeper, t *settings.Target, o order.Order) {
	if wait := s.mustWait(ctx, k, t, o); wait > 0 {
		k.update(func(r *order.Reconciler) { r.Deferred(time.Now().Add(wait)) })
		return
	}
	// The wait may have outlasted the claim; then another action comes first.
	if action, _ := k.next(time.Now()); action.Step != order.Send || action.Order != o {
		return
	}
	sent := time.Now()
	ordersSent.Inc()
	state, err := sendOrder(ctx, s.config.Engine, t.Address, o, k.longestOrder())
	var fenced *fencedError
	switch {
	case errors.As(err, &fenced):
		ordersFenced.Inc()
		k.wasFenced(fenced.newest)
	case err != nil:
		s.failed(k, t, "send an order", err)
	default:
		s.config.Log.Info().Str("target", t.Name).Str("kind", string(o.Kind)).Str("name", o.Name).Uint64("fence", o.Fence).Msg("order took effect")
		k.update(func(r *order.Reconciler) { r.OrderApplied(state, sent) })
	}
}

func (s *Service) failed(k *keeper, t *settings.Target, step string, err error) {
	orderErrors.Inc()
	s.config.Log.Warn().Err(err).Str("target", t.Name).Str("step", step).Msg("a managed target is not in its wanted state")
	k.update(func(r *order.Reconciler) { r.Failed(time.Now()) })
}
