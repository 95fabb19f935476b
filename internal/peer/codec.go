package peer

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.opentelemetry.io/otel/propagation"
)

// maxArrayElements bounds the elements of one array or map in a message.
const maxArrayElements = 1 << 22

var (
	encoding = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = mustMode(cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements}.DecMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// kind is the type of a QUIC stream.
type kind uint8

const (
	kindCall kind = iota + 1
	kindStream
	kindPing
)

// header is the first message on every QUIC stream.
type header struct {
	Kind   kind   `cbor:"1,keyasint"`
	Method Method `cbor:"2,keyasint,omitempty"`
	// Timeout is how long the caller waits for the response, in milliseconds.
	Timeout     int64  `cbor:"3,keyasint,omitempty"`
	TraceParent string `cbor:"4,keyasint,omitempty"`
	TraceState  string `cbor:"5,keyasint,omitempty"`
}

// responseHeader precedes the response to a call.
type responseHeader struct {
	Error *RemoteError `cbor:"1,keyasint,omitempty"`
}

func newHeader(ctx context.Context, kind kind, method Method) header {
	h := header{Kind: kind, Method: method}
	propagation.TraceContext{}.Inject(ctx, traceCarrier{&h})
	if deadline, ok := ctx.Deadline(); ok && kind == kindCall {
		h.Timeout = max(time.Until(deadline).Milliseconds(), 1)
	}
	return h
}

// traceCarrier stores W3C trace context in a header.
type traceCarrier struct{ h *header }

// Get implements propagation.TextMapCarrier.
func (c traceCarrier) Get(key string) string {
	switch key {
	case "traceparent":
		return c.h.TraceParent
	case "tracestate":
		return c.h.TraceState
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c traceCarrier) Set(key, value string) {
	switch key {
	case "traceparent":
		c.h.TraceParent = value
	case "tracestate":
		c.h.TraceState = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c traceCarrier) Keys() []string { return []string{"traceparent", "tracestate"} }

// encode returns messages as a CBOR sequence (RFC 8742).
func encode(limit int64, messages ...any) ([]byte, error) {
	var buf bytes.Buffer
	encoder := encoding.NewEncoder(&buf)
	for _, m := range messages {
		if err := encoder.Encode(m); err != nil {
			return nil, err
		}
	}
	if int64(buf.Len()) > limit {
		return nil, ErrMessageTooLarge
	}
	return buf.Bytes(), nil
}

// limitedReader fails once more than limit bytes have been read since the last reset, so that
// a peer cannot make the decoder buffer without bound.
type limitedReader struct {
	reader    io.Reader
	limit     int64
	remaining int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrMessageTooLarge
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// decoder reads a CBOR sequence.
type decoder struct {
	limited *limitedReader
	cbor    *cbor.Decoder
}

func newDecoder(reader io.Reader, limit int64) *decoder {
	limited := &limitedReader{reader: reader, limit: limit, remaining: limit}
	return &decoder{limited: limited, cbor: decoding.NewDecoder(limited)}
}

func (d *decoder) decode(message any) error {
	d.limited.remaining = d.limited.limit
	return d.cbor.Decode(message)
}
