package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

// SetLoaded says which model a managed target serves; an empty model means none that is wanted. The
// owner grants no slots of a managed target whose model is not loaded.
func (c *Controller) SetLoaded(name, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded[name] == model {
		return
	}
	c.loaded[name] = model
	t := c.targets[name]
	if t == nil || t.ledger == nil {
		return
	}
	t.ledger.SetSlots(c.slotsOf(t.settings))
	t.notify()
	now := time.Now()
	c.dispatchWaiting(t.pool, now)
	c.fillBatch(now)
}

// slotsOf returns the number of slots that the owner of a target may grant now.
func (c *Controller) slotsOf(t *settings.Target) int {
	if t.Managed && c.loaded[t.Name] != t.Model {
		return 0
	}
	return t.Slots
}
