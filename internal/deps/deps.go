//go:build deps

// Package deps keeps the versions of libraries that are about to be used in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/kataras/iris/v12"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/quic-go/quic-go"
	_ "github.com/samber/oops"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
