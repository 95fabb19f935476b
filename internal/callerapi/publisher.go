package callerapi

import "context"

// Publisher sends this entry's evidence of requests that crash targets to the other entries.
type Publisher interface {
	// Publish returns when the other entries have received the evidence, or on timeout.
	Publish(ctx context.Context)
}

// noPublisher publishes nothing.
type noPublisher struct{}

// Publish implements Publisher.
func (noPublisher) Publish(context.Context) {}
