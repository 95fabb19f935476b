package controller

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// handleCredits handles the credit requests of another entry.
func (c *Controller) handleCredits(ctx context.Context, from peer.Identity, decode func(any) error) (any, error) {
	var message CreditsRequest
	if err := decode(&message); err != nil {
		return nil, &peer.RemoteError{Code: "invalid_message", Message: err.Error()}
	}
	c.creditCalls.Allow()
	response := CreditsResponse{Targets: make([]TargetResponse, len(message.Targets))}
	deadline := time.NewTimer(c.config.HoldTimeout)
	defer deadline.Stop()
	changed := c.handleRequests(from.VM, message, response.Targets)
	c.notifyReturns(message)
	for changed != nil {
		select {
		case <-changed:
			changed = c.handleRequests(from.VM, message, response.Targets)
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
	return response, nil
}

// notifyReturns wakes held requests and batch work that wait for the credits returned by a credit request. It runs
// once per request: if held requests notified each other whenever they were re-evaluated, they would livelock.
func (c *Controller) notifyReturns(message CreditsRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, request := range message.Targets {
		t := c.targets[request.Target]
		if t == nil || t.ledger == nil {
			continue
		}
		if request.Refused {
			t.pool.health.Observe(now, request.Target, target.Refused, 0)
		}
		if request.Want <= request.Held {
			t.notifyLedgerChange()
			c.fillBatch(now)
		}
	}
}

// handleRequests fills in the responses. If they should be held, it returns a channel that is closed when they have
// to be re-evaluated.
func (c *Controller) handleRequests(holder string, message CreditsRequest, responses []TargetResponse) (changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, request := range message.Targets {
		t := c.targets[request.Target]
		if t == nil || t.ledger == nil {
			responses[i] = TargetResponse{NotOwner: true}
			continue
		}
		response, revoke := t.ledger.HandleRequest(now, request.creditRequest(holder, message.Session))
		c.revokeBatchSlots(revoke)
		responses[i] = newTargetResponse(t.pool.health.Refuses(request.Target), response)
		if request.Want > request.Held && response.Granted > request.Held {
			c.protectFirstToken(t, now)
		}
		recalled := c.recallUnused(t, now)
		if isUnmet(request, response) && (message.Hold || recalled || t.ledger.PendingReclaim(holder) > 0) {
			changed = t.ledgerChanged
		}
	}
	return changed
}

// maxPromptTime is the upper limit for the estimated time that a batch item's prompt takes to process.
const maxPromptTime = 100 * time.Millisecond

const (
	// startsPerPreemption is the number of batch items that have to start on a target for each one preempted while
	// its prompt is processed. Without it, a steady stream of online requests would starve batch work.
	startsPerPreemption = 2
	// maxBatchStarts is the limit of the counted starts, and thereby of the preemptions in a row.
	maxBatchStarts = 8
	// maxBatchDelay is how long after the last start online requests can delay the next batch item, in first-token
	// times.
	maxBatchDelay = 12
)

// promptTimeLeft estimates how much longer the owned target will process the prompt of the batch item that started
// last. The whole prompt is estimated at twice the first-token time, since batch prompts are longer, and at most
// at maxPromptTime.
func (t *targetState) promptTimeLeft(now time.Time) time.Duration {
	prompt := min(t.pacer.FirstToken()*2, maxPromptTime)
	return max(0, prompt-now.Sub(t.lastBatchStart))
}

// protectFirstToken keeps batch prompts from delaying the first token of an online request that is about to start:
// it revokes the slot of an item whose prompt is being processed, and delays the next item.
func (c *Controller) protectFirstToken(t *targetState, now time.Time) {
	if t.isProcessingPrompt(now) && t.batchStarts >= startsPerPreemption {
		t.batchStarts -= startsPerPreemption
		c.revokeBatchSlots(t.ledger.RevokeBatch(1))
	}
	firstToken := min(t.pacer.FirstToken(), maxPromptTime)
	until := now.Add(firstToken * 3 / 2)
	if latest := t.lastBatchStart.Add(firstToken * maxBatchDelay); until.After(latest) {
		until = latest
	}
	if until.After(t.nextBatchStart) {
		t.nextBatchStart = until
	}
}

// isProcessingPrompt reports whether the owned target is estimated to be processing a batch item's prompt.
func (t *targetState) isProcessingPrompt(now time.Time) bool {
	return t.ledger != nil && t.promptTimeLeft(now) > 0
}

// isUnmet reports whether a request for more credits was granted none.
func isUnmet(request TargetRequest, response target.CreditResponse) bool {
	if response.Stale {
		return false
	}
	return response.Granted <= request.Held && request.Want > request.Held
}
