// Package admission decides when and on which target a request of this VM runs.
package admission

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Request describes one online request that asks for a slot.
type Request struct {
	// ID is the request id, for explanations.
	ID string
	// Client is the client's name, between which slots are shared fairly.
	Client string
	// Model or Service names what must run the request; the other is empty.
	Model   string
	Service string
	// Deadline is when the first byte of the answer is due.
	Deadline time.Time
	// Fingerprint identifies the request's content, see package quarantine.
	Fingerprint uint64
	// PrefixBlocks are hashes of the prompt's leading blocks, the longest prefix last.
	PrefixBlocks []uint64
	// Tried are names of targets that the request may not be sent to again.
	Tried []string
}

// End says how an attempt on a target ended.
type End uint8

// Ends of an attempt.
const (
	// EndCompleted means that the whole answer came back.
	EndCompleted End = iota + 1
	// EndUnreachable means that no connection could be made.
	EndUnreachable
	// EndRefused means that the target refused the request by protocol (429 or 503).
	EndRefused
	// EndCut means that the connection broke before the whole answer.
	EndCut
	// EndTimeout means that the target did not answer in time.
	EndTimeout
	// EndCancelled means that the caller or we gave the request up.
	EndCancelled
)

// Outcome reports one attempt on a target.
type Outcome struct {
	End End
	// FirstToken is the time from sending to the first byte of the answer's content; zero if none came.
	FirstToken time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Duration is the time from sending to the end.
	Duration time.Duration
}

// Grant is the right to run one request on one target.
type Grant struct {
	// Target is where the request may run.
	Target *settings.Target
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Reason states in plain words why the request waited and why this target was picked.
	Reason string
	// Release gives the slot back. It must be called exactly once.
	Release func(Outcome)
}

// Admitter hands out slots.
type Admitter interface {
	// Acquire waits for a slot. When the request cannot be run in time it fails at once with a
	// *verdict.Error of verdict NotRun and a RetryAfter.
	Acquire(ctx context.Context, request Request) (*Grant, error)
	// AllowRetry takes one retry from the VM's retry budget and reports whether there was one.
	AllowRetry() bool
}
