// Package clientctx stores the authenticated client of a request in its context.
package clientctx

import (
	"context"

	"github.com/rosemarydyke/rosemarydyke/settings"
)

type key struct{}

// With returns a context that carries client.
func With(ctx context.Context, client *settings.Client) context.Context {
	return context.WithValue(ctx, key{}, client)
}

// From returns the client that ctx carries, and false if there is none.
func From(ctx context.Context) (*settings.Client, bool) {
	client, ok := ctx.Value(key{}).(*settings.Client)
	return client, ok
}
