package runner

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// ItemCall is one attempt to run an item on a target.
type ItemCall struct {
	// Address is the target's HTTP address (IP:port).
	Address string
	// RequestID is the same in every attempt of the item.
	RequestID string
	// Path is the path of the engine's HTTP API, from the item's url.
	Path string
	// Body is the item's body as the client sent it.
	Body []byte
	// Partial is the output of earlier attempts, to be continued.
	Partial job.Partial
}

// ItemOutcome is the outcome of an attempt.
type ItemOutcome struct {
	// Status and Body are the complete response. They are set when Err is nil.
	Status int
	Body   []byte
	// End is how the attempt ended from the target's point of view.
	End admission.End
	// Err is nil when a complete response was received.
	Err *verdict.Error
	// Partial is the output that a later attempt can continue, including that of earlier attempts.
	Partial job.Partial
	// Tokens is the number of tokens generated in this attempt.
	Tokens int
	// FirstToken is the time to the first token, zero if there was none.
	FirstToken time.Duration
	// Duration is the duration of the attempt.
	Duration time.Duration
}

// ItemRunner sends items to targets.
type ItemRunner interface {
	// RunItem runs one item. When ctx ends it cancels the item on the target and returns at once.
	RunItem(ctx context.Context, call ItemCall) ItemOutcome
}
