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
	changed := c.answerAsks(from.VM, message, answer.Targets)
	c.announceReturns(message)
	for changed != nil {
		select {
		case <-changed:
			changed = c.answerAsks(from.VM, message, answer.Targets)
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
	return answer, nil
}

// announceReturns wakes what waits for the credits that an ask returned. It runs once for each ask: two
// asks that wait, and woke each other each time they looked again, would never sleep.
func (c *Controller) announceReturns(message CreditsAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, ask := range message.Targets {
		t := c.targets[ask.Target]
		if t == nil || t.ledger == nil {
			continue
		}
		if ask.Refused {
			t.pool.health.Observe(now, ask.Target, target.Refused, 0)
		}
		if ask.Want <= ask.Held {
			t.notify()
			c.fillBatch(now)
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
		answer, revoke := t.ledger.HandleRequest(now, ask.ask(holder, message.Session))
		c.revoke(revoke)
		answers[i] = newTargetAnswer(t.pool.health.Refuses(ask.Target), answer)
		if ask.Want > ask.Held && answer.Granted > ask.Held {
			c.protectFirstToken(t, now)
		}
		recalled := c.recallIdle(t, now)
		if isShort(ask, answer) && (message.Hold || recalled || t.ledger.PendingReclaim(holder) > 0) {
			changed = t.changed
		}
	}
	return changed
}

// maxBusy bounds the time for which a batch item's prompt is taken to be processed.
const maxBusy = 100 * time.Millisecond

const (
	// startsPerPreemption is the number of batch items that start on a target for each that is preempted while its
	// prompt is processed. Without it, a steady stream of online requests would let no item finish.
	startsPerPreemption = 2
	// maxBatchStarts bounds the starts that are counted, and with them how many items may be preempted in a row.
	maxBatchStarts = 8
	// maxBatchDelay bounds, in first-token times, how long after the last start online requests can keep the
	// next batch item back.
	maxBatchDelay = 12
)

// busyFor returns for how long the owned target will process the prompt of the batch item that started last: about
// one and a half first-token times after its start, since batch prompts are longer.
func (t *targetState) busyFor(now time.Time) time.Duration {
	prompt := min(t.pacer.FirstToken()*2, maxBusy)
	return max(0, prompt-now.Sub(t.batchStarted))
}

// protectFirstToken keeps prompts of batch items from delaying the first token of an online request that is about to
// start: it takes back the slot of an item whose prompt is being processed, and keeps the next item back.
func (c *Controller) protectFirstToken(t *targetState, now time.Time) {
	if t.isBusy(now) && t.batchStarts >= startsPerPreemption {
		t.batchStarts -= startsPerPreemption
		c.revoke(t.ledger.RevokeBatch(1))
	}
	firstToken := min(t.pacer.FirstToken(), maxBusy)
	until := now.Add(firstToken * 3 / 2)
	if latest := t.batchStarted.Add(firstToken * maxBatchDelay); until.After(latest) {
		until = latest
	}
	if until.After(t.nextBatch) {
		t.nextBatch = until
	}
}

// isBusy reports whether the owned target processes the prompt of a batch item.
func (t *targetState) isBusy(now time.Time) bool {
	return t.ledger != nil && t.busyFor(now) > 0
}

// isShort reports whether an ask got nothing of what it wants.
func isShort(ask TargetAsk, answer target.CreditResponse) bool {
	if answer.Stale {
		return false
	}
	return answer.Granted <= ask.Held && ask.Want > ask.Held
}
