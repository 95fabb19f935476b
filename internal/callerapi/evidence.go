package callerapi

import "context"

// EvidencePublisher sends this entry's evidence of requests that crash targets to the other entries.
type EvidencePublisher interface {
	// Publish returns when the other entries have received the evidence, or on timeout.
	Publish(ctx context.Context)
}

// nopPublisher publishes nothing.
type nopPublisher struct{}

// Publish implements Publisher.
func (nopPublisher) Publish(context.Context) {}
