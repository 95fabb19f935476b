package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// managedTarget is a target with its reconciler. At most one step runs at a time.
type managedTarget struct {
	checksFencing bool

	mu           sync.Mutex
	target       *settings.Target
	desired      order.State
	desiredSince time.Time
	reconciler   *order.Reconciler
	newestFence  uint64
	busy         bool
}

func newManagedTarget(t *settings.Target, config order.Config) *managedTarget {
	config.ChecksFencing = t.ChecksFencing
	return &managedTarget{
		checksFencing: t.ChecksFencing,
		reconciler:    order.NewReconciler(config, desiredState(t)),
	}
}

func desiredState(t *settings.Target) order.State {
	return order.State{Model: t.Model, Adapters: t.Adapters, Version: t.Version, Role: t.Role}
}

// setSettings applies the target's current settings.
func (m *managedTarget) setSettings(t *settings.Target, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target = t
	desired := desiredState(t)
	if !m.desiredSince.IsZero() && equalStates(desired, m.desired) {
		return
	}
	m.desired = desired
	m.desiredSince = now
	m.reconciler.SetDesired(desired)
}

func equalStates(a, b order.State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// tryBegin marks a step as begun and reports true, unless another step is running.
func (m *managedTarget) tryBegin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy {
		return false
	}
	m.busy = true
	return true
}

func (m *managedTarget) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = false
}

func (m *managedTarget) next(now time.Time) (order.Action, *settings.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconciler.Next(now), m.target
}

func (m *managedTarget) update(change func(*order.Reconciler)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.reconciler)
}

func (m *managedTarget) orderFenced(newest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newestFence = max(m.newestFence, newest)
	m.reconciler.OrderFenced(time.Now())
}

// newestSeenFence returns the highest fencing token that the target is known to have seen.
func (m *managedTarget) newestSeenFence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestFence
}

func (m *managedTarget) desiredChangedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.desiredSince
}

// loadedModel returns the model that the target serves, or an empty string if it is not in its desired state.
func (m *managedTarget) loadedModel() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reconciler.IsReady() {
		return ""
	}
	return m.desired.Model
}

// replacesModel reports whether the target serves a model other than the desired one.
func (m *managedTarget) replacesModel() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconciler.Model() != "" && m.reconciler.Model() != m.desired.Model
}

func (m *managedTarget) maxOrderDuration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconciler.MaxOrderDuration()
}
