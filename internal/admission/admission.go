// Package admission defines how a request on this VM obtains a slot on a target.
package admission

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Request describes one online request that needs a slot.
type Request struct {
	// ID is the request id. It appears in explanations.
	ID string
	// Client is the client's name. Slots are shared fairly among clients.
	Client string
	// Model or Service names what has to serve the request. Exactly one of them is set.
	Model   string
	Service string
	// Deadline is when the first byte of the response is due. The zero value means no deadline.
	Deadline time.Time
	// Fingerprint identifies the request's content; see package quarantine.
	Fingerprint uint64
	// PromptParts are the fingerprints of the parts of the prompt that other requests may have too, see PromptParts.
	PromptParts []uint64
	// PrefixBlocks are hashes of the prompt's leading blocks, ordered from the shortest to the longest prefix.
	PrefixBlocks []uint64
	// Tried are the names of targets that the request must not be sent to again.
	Tried []string
}

// End is how an attempt on a target ended.
type End uint8

// Possible ends of an attempt.
const (
	// EndCompleted means that the complete response was received.
	EndCompleted End = iota + 1
	// EndUnreachable means that no connection could be established.
	EndUnreachable
	// EndRefused means that the target rejected the request with status 429 or 503.
	EndRefused
	// EndInterrupted means that the attempt failed before the complete response was received: the connection broke,
	// or the target sent an error status (5xx except 503), an error event or a malformed response.
	EndInterrupted
	// EndTimeout means that the target did not respond in time.
	EndTimeout
	// EndCancelled means that the caller or this VM cancelled the request.
	EndCancelled
)

// Outcome describes one attempt on a target.
type Outcome struct {
	End End
	// FirstToken is the time from sending the request to the first byte of the response's content; zero if
	// none was received.
	FirstToken time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Duration is the time from sending the request to the end of the attempt.
	Duration time.Duration
}

// Grant is the right to run one request on one target.
type Grant struct {
	// Target is the target that the request may be sent to.
	Target *settings.Target
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Reason describes why the request waited and why this target was picked.
	Reason string
	// Release returns the slot. It must be called exactly once.
	Release func(Outcome)
}

// Admitter grants slots.
type Admitter interface {
	// Acquire waits for a slot. If the request cannot run in time, it fails without waiting for the deadline,
	// with a *verdict.Error of verdict NotRun and a RetryAfter.
	Acquire(ctx context.Context, request Request) (*Grant, error)
	// AllowRetry takes one retry from the VM's retry budget and reports whether the budget allowed it.
	AllowRetry() bool
}
