package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// minRecallInterval is the minimum time between two recalls of one target's credits from the same VM.
const minRecallInterval = 100 * time.Millisecond

// recallUnused recalls unused credits that other VMs wait for. It reports whether another VM is known to hold any.
func (c *Controller) recallUnused(t *targetState, now time.Time) bool {
	c.recallFrom(t, t.ledger.UnnotifiedHolders(), now)
	return c.recallFrom(t, t.ledger.IdleHolders(), now)
}

func (c *Controller) recallFrom(t *targetState, holders []string, now time.Time) bool {
	recalled := false
	for _, vm := range holders {
		if vm == c.config.VM {
			continue
		}
		recalled = true
		if now.Sub(t.lastRecall[vm]) >= minRecallInterval {
			t.lastRecall[vm] = now
			c.recall(vm, t.settings.Name)
		}
	}
	return recalled
}

func (c *Controller) recall(vm, name string) {
	for _, m := range c.topology.members {
		if m.VM != vm {
			continue
		}
		if address, err := netip.ParseAddrPort(m.EntryPeers); err == nil {
			go c.sendRecall(address, name)
		}
		return
	}
}

func (c *Controller) sendRecall(address netip.AddrPort, name string) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.CallTimeout)
	defer cancel()
	c.creditCalls.Allow()
	var response struct{}
	if err := c.config.Caller.Call(ctx, address, MethodRecall, CreditsRecall{Targets: []string{name}}, &response); err != nil {
		c.config.Log.Debug().Err(err).Str("target", name).Msg("credit recall failed; the holder keeps its unused credits until a later recall or renewal")
	}
}

// handleRecall returns unused credits to the owner that recalls them.
func (c *Controller) handleRecall(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var message CreditsRecall
	if err := decode(&message); err != nil {
		return nil, &peer.RemoteError{Code: "invalid_message", Message: err.Error()}
	}
	c.creditCalls.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, name := range message.Targets {
		t := c.targets[name]
		if t == nil || t.ledger != nil {
			continue
		}
		t.holder.Scarce = true
		c.returnCredits(t, now)
	}
	return struct{}{}, nil
}
