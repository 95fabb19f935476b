package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// keeper is one target with its reconciler. At most one step of it runs at a time.
type keeper struct {
	checksFencing bool

	mu         sync.Mutex
	target     *settings.Target
	wanted     order.State
	since      time.Time
	reconciler *order.Reconciler
	newest     uint64
	busy       bool
}

func newKeeper(t *settings.Target, config order.Config) *keeper {
	config.ChecksFencing = t.ChecksFencing
	return &keeper{
		checksFencing: t.ChecksFencing,
		reconciler:    order.NewReconciler(config, wantedOf(t)),
	}
}

func wantedOf(t *settings.Target) order.State {
	return order.State{Model: t.Model, Adapters: t.Adapters, Version: t.Version, Role: t.Role}
}

// want takes the target's present settings.
func (k *keeper) want(t *settings.Target, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target = t
	wanted := wantedOf(t)
	if !k.since.IsZero() && isSame(wanted, k.wanted) {
		return
	}
	k.wanted = wanted
	k.since = now
	k.reconciler.SetDesired(wanted)
}

func isSame(a, b order.State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// begin reports whether a step may begin, and marks it as begun.
func (k *keeper) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy {
		return false
	}
	k.busy = true
	return true
}

func (k *keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = false
}

func (k *keeper) next(now time.Time) (order.Action, *settings.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.Next(now), k.target
}

func (k *keeper) update(change func(*order.Reconciler)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.reconciler)
}

func (k *keeper) wasFenced(newest uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newest = max(k.newest, newest)
	k.reconciler.OrderFenced(time.Now())
}

// newestFence is the highest fencing number that the target is known to have seen.
func (k *keeper) newestFence() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest
}

func (k *keeper) wantedSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since
}

// loaded returns the model that the target serves and should serve, empty while it is not in its wanted state.
func (k *keeper) loaded() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reconciler.IsReady() {
		return ""
	}
	return k.wanted.Model
}

// replacesModel reports whether the target serves another model than the wanted one.
func (k *keeper) replacesModel() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.Model() != "" && k.reconciler.Model() != k.wanted.Model
}

func (k *keeper) longestOrder() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reconciler.MaxOrderDuration()
}
