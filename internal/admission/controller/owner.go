package controller

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// handleCredits answers the asks of another entry.
func (c *Controller) handleCredits(ctx context.Context, from peer.Identity, decode func(any) error) (any, error) {
	var message CreditsAsk
	if err := decode(&message); err != nil {
		return nil, &peer.RemoteError{Code: "invalid_message", Message: err.Error()}
	}
	c.exchanges.Allow()
	answer := CreditsAnswer{Targets: make([]TargetAnswer, len(message.Targets))}
	deadline := time.NewTimer(c.config.AskWait)
	defer deadline.Stop()
	for {
		changed := c.answerAsks(from.VM, message, answer.Targets)
		if changed == nil {
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// answerAsks fills in the answers. When it is better to look again before sending them, it returns
// a channel that is closed at the next change.
func (c *Controller) answerAsks(holder string, message CreditsAsk, answers []TargetAnswer) (changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, ask := range message.Targets {
		t := c.targets[ask.Target]
		if t == nil || t.ledger == nil {
			answers[i] = TargetAnswer{NotOwner: true}
			continue
		}
		answer, revoke := t.ledger.Request(now, ask.ask(holder, message.Session))
		c.revoke(revoke)
		if ask.Refused {
			t.pool.health.Observe(now, ask.Target, target.Refused, 0)
		}
		if ask.Want <= ask.Held {
			// Credits may have been returned that others wait for.
			t.notify()
			c.fillBatch(now)
		}
		answers[i] = newTargetAnswer(t.pool.health.Refuses(ask.Target), answer)
		if isShort(ask, answer) && (message.Hold || t.ledger.Coming(holder) > 0) {
			changed = t.changed
		}
	}
	return changed
}

// isShort reports whether an ask got nothing of what it wants.
func isShort(ask TargetAsk, answer target.Answer) bool {
	if answer.Stale {
		return false
	}
	return answer.Granted <= ask.Held && ask.Want > ask.Held
}
