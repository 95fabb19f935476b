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
func (k *managedTarget) setSettings(t *settings.Target, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = t
	desired := desiredState(t)
	if !k.desiredSince.IsZero() && equalStates(desired, k.desired) {
		return
	}
	k.desired = desired
	k.desiredSince = now
	k.reconciler.SetDesired(desired)
}

func equalStates(a, b order.State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// tryBegin marks a step as begun and reports true, unless another step is running.
func (k *managedTarget) tryBegin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy {
		return false
	}
	k.busy = true
	return true
}

func (k *managedTarget) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = false
}

func (k *managedTarget) next(now time.Time) (order.Action, *settings.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.Next(now), k.target
}

func (k *managedTarget) update(change func(*order.Reconciler)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.reconciler)
}

func (k *managedTarget) orderFenced(newest uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newestFence = max(k.newestFence, newest)
	k.reconciler.OrderFenced(time.Now())
}

// newestSeenFence returns the highest fencing token that the target is known to have seen.
func (k *managedTarget) newestSeenFence() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestFence
}

func (k *managedTarget) desiredChangedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.desiredSince
}

// loadedModel returns the model that the target serves, or an empty string if it is not in its desired state.
func (k *managedTarget) loadedModel() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reconciler.IsReady() {
		return ""
	}
	return k.desired.Model
}

// replacesModel reports whether the target serves a model other than the desired one.
func (k *managedTarget) replacesModel() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.Model() != "" && k.reconciler.Model() != k.desired.Model
}

func (k *managedTarget) maxOrderDuration() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.MaxOrderDuration()
}
