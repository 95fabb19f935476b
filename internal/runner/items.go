package runner

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// ItemCall is one try of an item on one target.
type ItemCall struct {
	// Address is the target's HTTP address (IP:port).
	Address string
	// RequestID is the same in every try of the item.
	RequestID string
	// Path is the path of the engine's interface that the item names.
	Path string
	// Body is the item's body as its sender wrote it.
	Body []byte
	// Partial is what earlier tries generated.
	Partial job.Partial
}

// ItemOutcome is how a try ended.
type ItemOutcome struct {
	// Status and Body are the whole answer. They are set when Err is nil.
	Status int
	Body   []byte
	// End is how the try ended for the target.
	End admission.End
	// Err is nil when a whole answer came back.
	Err *verdict.Error
	// Partial is what can be continued by a later try, with that of earlier tries.
	Partial job.Partial
	// Tokens is the number of tokens generated in this try.
	Tokens int
	// FirstToken is the time to the first token; zero if none came.
	FirstToken time.Duration
	// Duration is the length of the try.
	Duration time.Duration
}

// ItemRunner sends items to targets.
type ItemRunner interface {
	// RunItem sends one item. When ctx ends it cancels the item on the target and returns at once.
	RunItem(ctx context.Context, call ItemCall) ItemOutcome
}
