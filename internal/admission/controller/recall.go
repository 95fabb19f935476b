package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// recallPause separates recalls to one holder of credits of one target.
const recallPause = 100 * time.Millisecond

// recallIdle asks holders for unused credits that others wait for. It reports whether any is known to be on its way.
func (c *Controller) recallIdle(t *targetState, now time.Time) bool {
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
		if now.Sub(t.recalls[vm]) >= recallPause {
			t.recalls[vm] = now
			c.recall(vm, t.settings.Name)
		}
	}
	return recalled
}

func (c *Controller) recall(vm, name string) {
	for _, m := range c.layout.members {
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
	c.exchanges.Allow()
	var answer struct{}
	if err := c.config.Caller.Call(ctx, address, MethodRecall, CreditsRecall{Targets: []string{name}}, &answer); err != nil {
		c.config.Log.Debug().Err(err).Str("target", name).Msg("credits could not be recalled")
	}
}

// handleRecall gives unused credits back.
func (c *Controller) handleRecall(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var message CreditsRecall
	if err := decode(&message); err != nil {
		return nil, &peer.RemoteError{Code: "invalid_message", Message: err.Error()}
	}
	c.exchanges.Allow()
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
