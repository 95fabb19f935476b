package callerapi

import "context"

// Publisher tells the other entries what this one has learnt of requests that crash targets.
type Publisher interface {
	// Publish returns when the other entries have the news, or its time is up.
	Publish(ctx context.Context)
}

// noPublisher tells nobody.
type noPublisher struct{}

// Publish implements Publisher.
func (noPublisher) Publish(context.Context) {}
