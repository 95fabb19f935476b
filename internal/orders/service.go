// Package orders brings managed targets to the state that the settings require. Each VM manages the
// targets that it owns.
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

// ReadySink is notified of the model that a managed target has loaded.
type ReadySink interface {
	// SetLoaded reports that the target serves the model. An empty model means that it serves no desired model.
	SetLoaded(target, model string)
}

// Config configures a Service.
type Config struct {
	// VM is this VM's name.
	VM string
	// Table stores the fencing tokens.
	Table platform.Table
	// Weights is queried before a model is loaded; its rate limit defers the order.
	Weights platform.Weights
	// Engine sends requests to the targets.
	Engine *engine.Client
	// Owned returns the managed targets that this VM owns.
	Owned func() []*settings.Target
	// Ready is notified when a target becomes ready for use.
	Ready ReadySink
	// Log receives the log of the service.
	Log zerolog.Logger

	// Interval is the time between two passes over the owned targets. Default 500ms.
	Interval time.Duration
	// SwitchDelay is the minimum time for which a loaded model is kept after the settings require another one, so
	// that all entries have received the new settings and send no requests for the old model. Default 20s, longer
	// than the 17s after which an entry with old settings accepts no work.
	SwitchDelay time.Duration
	// Reconciler configures the reconcilers. ChecksFencing is set for each target from its settings.
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

// Service manages the targets that one VM owns.
type Service struct {
	config Config
	// holder identifies this process in fencing rows. It is never reused.
	holder string

	mu      sync.Mutex
	managed map[string]*managedTarget
}

// New returns a service. Run starts it.
func New(config Config) *Service {
	config.Interval = cmp.Or(config.Interval, defaultInterval)
	config.SwitchDelay = cmp.Or(config.SwitchDelay, defaultSwitchDelay)
	return &Service{
		config:  config,
		holder:  config.VM + "." + ulid.Make().String(),
		managed: map[string]*managedTarget{},
	}
}

// Run manages the owned targets until ctx is done.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	var steps sync.WaitGroup
	defer steps.Wait()
	for {
		for _, m := range s.update() {
			if m.tryBegin() {
				steps.Go(func() { defer m.end(); s.step(ctx, m) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update adds targets that this VM has come to own and removes those that it no longer owns.
func (s *Service) update() []*managedTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := map[string]bool{}
	now := time.Now()
	for _, t := range s.config.Owned() {
		owned[t.Name] = true
		m := s.managed[t.Name]
		if m == nil || m.checksFencing != t.ChecksFencing {
			m = newManagedTarget(t, s.config.Reconciler)
			s.managed[t.Name] = m
		}
		m.setSettings(t, now)
	}
	for name := range s.managed {
		if !owned[name] {
			delete(s.managed, name)
			// A new owner may change what the target serves.
			s.config.Ready.SetLoaded(name, "")
		}
	}
	return slices.Collect(maps.Values(s.managed))
}

// step carries out the next action for a target.
func (s *Service) step(ctx context.Context, m *managedTarget) {
	action, t := m.next(time.Now())
	switch action.Step {
	case order.Read:
		s.read(ctx, m, t)
	case order.Claim:
		s.claim(ctx, m, t)
	case order.Send:
		s.send(ctx, m, t, action.Order)
	}
	if s.isManaged(m) {
		s.config.Ready.SetLoaded(t.Name, m.loadedModel())
	}
}

// isManaged reports whether the target is still owned by this VM.
func (s *Service) isManaged(m *managedTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(slices.Collect(maps.Values(s.managed)), m)
}

func (s *Service) read(ctx context.Context, m *managedTarget, t *settings.Target) {
	sentAt := time.Now()
	state, err := readState(ctx, s.config.Engine, t.Address)
	if err != nil {
		s.stepFailed(m, t, "read state", err)
		return
	}
	m.update(func(r *order.Reconciler) { r.StateRead(state, sentAt) })
}

func (s *Service) claim(ctx context.Context, m *managedTarget, t *settings.Target) {
	sent := time.Now()
	c, err := claimFence(ctx, s.config.Table, t.Name, s.holder, m.newestSeenFence())
	if err != nil {
		s.stepFailed(m, t, "claim fencing token", err)
		return
	}
	m.update(func(r *order.Reconciler) { r.Claimed(c.fence, sent, time.Now(), c.otherHolder) })
}

func (s *Service) send(ctx context.Context, m *managedTarget, t *settings.Target, o order.Order) {
	if wait := s.waitBefore(ctx, m, t, o); wait > 0 {
		m.update(func(r *order.Reconciler) { r.Deferred(time.Now().Add(wait)) })
		return
	}
	// The claim may have expired during the wait; then another action comes first.
	if action, _ := m.next(time.Now()); action.Step != order.Send || action.Order != o {
		return
	}
	sent := time.Now()
	ordersSent.Inc()
	state, err := sendOrder(ctx, s.config.Engine, t.Address, o, m.maxOrderDuration())
	var fenced *fencedError
	switch {
	case errors.As(err, &fenced):
		ordersFenced.Inc()
		m.orderFenced(fenced.newest)
	case err != nil:
		s.stepFailed(m, t, "send order", err)
	default:
		s.config.Log.Info().Str("target", t.Name).Str("kind", string(o.Kind)).Str("name", o.Name).Uint64("fence", o.Fence).Msg("order applied to managed target")
		m.update(func(r *order.Reconciler) { r.OrderApplied(state, sent) })
	}
}

func (s *Service) stepFailed(m *managedTarget, t *settings.Target, step string, err error) {
	orderErrors.Inc()
	s.config.Log.Warn().Err(err).Str("target", t.Name).Str("step", step).Msg("step failed, managed target is not in its desired state; will retry")
	m.update(func(r *order.Reconciler) { r.Failed(time.Now()) })
}
