// Package clientctx carries the authenticated client of a request in the request's context.
package clientctx

import (
	"context"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

type contextKey struct{}

// With returns a context that carries client.
func With(ctx context.Context, client *settings.Client) context.Context {
	return context.WithValue(ctx, contextKey{}, client)
}

// From returns the client that ctx carries.
func From(ctx context.Context) (*settings.Client, bool) {
	client, ok := ctx.Value(contextKey{}).(*settings.Client)
	return client, ok && client != nil
}
