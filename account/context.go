package account

import "context"

type contextKey struct{}

// NewContext returns a context that carries the account of an authenticated request.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of an authenticated request, or nil if there are no accounts or the route is public.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
