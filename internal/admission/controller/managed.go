package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

// SetLoaded records which model a managed target serves; empty if it does not serve the desired model. The owner
// grants no slots of a managed target until its configured model is loaded.
func (c *Controller) SetLoaded(name, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadedModels[name] == model {
		return
	}
	c.loadedModels[name] = model
	t := c.targets[name]
	if t == nil || t.ledger == nil {
		return
	}
	t.ledger.SetSlots(c.slotsOf(t.settings))
	t.notifyLedgerChange()
	now := time.Now()
	c.dispatchWaiting(t.pool, now)
	c.fillBatch(now)
}

// slotsOf returns the number of slots that a target's owner may grant now.
func (c *Controller) slotsOf(t *settings.Target) int {
	if t.Managed && c.loadedModels[t.Name] != t.Model {
		return 0
	}
	return t.Slots
}
