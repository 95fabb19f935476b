package peer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "rosemarydyke/peer"

// headerTimeout bounds the wait for the header of an incoming stream.
const headerTimeout = 10 * time.Second

// Call implements Caller. It returns *RemoteError or *UnansweredError.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, method Method, request, response any) error {
	started := time.Now()
	ctx, span := startSpan(ctx, trace.SpanKindClient, method, to)
	defer span.End()
	ctx, cancel := n.withCallTimeout(ctx)
	defer cancel()
	err := n.call(ctx, to, method, request, response)
	recordCall(method, started, err)
	endSpan(span, err)
	return err
}

func (n *Node) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.cfg.CallTimeout)
}

func (n *Node) call(ctx context.Context, to netip.AddrPort, method Method, request, response any) error {
	c, stream, err := n.open(ctx, to)
	if err != nil {
		return &UnansweredError{Cause: err}
	}
	defer c.active.Add(-1)
	defer cancelOnEnd(ctx, stream)()
	message, err := encode(n.cfg.MaxMessageBytes, newHeader(ctx, kindCall, method), request)
	if err != nil {
		stream.CancelWrite(streamCancelled)
		stream.CancelRead(streamCancelled)
		return &UnansweredError{Cause: err}
	}
	if _, err := stream.Write(message); err != nil {
		return unanswered(ctx, err)
	}
	_ = stream.Close()
	defer stream.CancelRead(streamCancelled)
	return n.readResponse(ctx, c, stream, response)
}

func (n *Node) readResponse(ctx context.Context, c *connection, stream *quic.Stream, response any) error {
	decoder := newDecoder(stream, n.cfg.MaxMessageBytes)
	var head responseHeader
	if err := decoder.decode(&head); err != nil {
		return unanswered(ctx, err)
	}
	c.touch()
	if head.Error != nil {
		return head.Error
	}
	if response == nil {
		return nil
	}
	if err := decoder.decode(response); err != nil {
		return unanswered(ctx, err)
	}
	return nil
}

// open opens a QUIC stream and counts it as active on its connection.
func (n *Node) open(ctx context.Context, to netip.AddrPort) (*connection, *quic.Stream, error) {
	c, err := n.connectTo(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	c.active.Add(1)
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		c.active.Add(-1)
		return nil, nil, err
	}
	return c, stream, nil
}

// cancelOnEnd cancels the stream when ctx ends. The returned function unregisters the cancellation.
func cancelOnEnd(ctx context.Context, stream *quic.Stream) func() bool {
	return context.AfterFunc(ctx, func() {
		stream.CancelWrite(streamCancelled)
		stream.CancelRead(streamCancelled)
	})
}

func unanswered(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &UnansweredError{Sent: true, Cause: err}
}

// serveStream reads the header of an incoming stream and dispatches it to its handler.
func (n *Node) serveStream(c *connection, stream *quic.Stream) {
	decoder := newDecoder(stream, n.cfg.MaxMessageBytes)
	var h header
	_ = stream.SetReadDeadline(time.Now().Add(headerTimeout))
	if err := decoder.decode(&h); err != nil {
		resetStream(stream)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if h.Kind == kindPing {
		n.writeResponse(stream, responseHeader{})
		return
	}
	c.active.Add(1)
	defer c.active.Add(-1)
	ctx, cancel := serverContext(stream, h)
	defer cancel()
	ctx = propagation.TraceContext{}.Extract(ctx, traceCarrier{&h})
	ctx, span := startSpan(ctx, trace.SpanKindServer, h.Method, c.peer.Address)
	defer span.End()
	switch h.Kind {
	case kindCall:
		endSpan(span, n.serveCall(ctx, c, stream, h.Method, decoder))
	case kindStream:
		endSpan(span, n.serveMessages(ctx, c, stream, h.Method, decoder))
	default:
		resetStream(stream)
	}
}

// resetStream resets a stream in both directions.
func resetStream(stream *quic.Stream) {
	stream.CancelRead(streamFailed)
	stream.CancelWrite(streamFailed)
}

// serverContext returns a context that ends when the caller cancels, its timeout expires or the connection is lost.
func serverContext(stream *quic.Stream, h header) (context.Context, context.CancelFunc) {
	if h.Timeout > 0 {
		return context.WithTimeout(stream.Context(), time.Duration(h.Timeout)*time.Millisecond)
	}
	return context.WithCancel(stream.Context())
}

func (n *Node) serveCall(ctx context.Context, c *connection, stream *quic.Stream, method Method, decoder *decoder) error {
	if !n.beginCall() {
		resetStream(stream)
		return ErrClosed
	}
	defer n.activeCalls.Done()
	response, err := n.runHandler(ctx, c.peer, method, decoder)
	if err != nil {
		n.writeResponse(stream, responseHeader{Error: asRemoteError(err)})
		return err
	}
	n.writeResponse(stream, responseHeader{}, response)
	return nil
}

func (n *Node) runHandler(ctx context.Context, from Identity, method Method, decoder *decoder) (any, error) {
	handler, ok := n.calls[method]
	if !ok {
		return nil, &RemoteError{Code: CodeUnknownMethod, Message: string(method)}
	}
	decode := func(request any) error {
		if err := decoder.decode(request); err != nil {
			return &RemoteError{Code: CodeBadRequest, Message: err.Error()}
		}
		return nil
	}
	return handler(ctx, from, decode)
}

func (n *Node) writeResponse(stream *quic.Stream, head responseHeader, response ...any) {
	message, err := encode(n.cfg.MaxMessageBytes, append([]any{head}, response...)...)
	if err != nil {
		message, _ = encode(n.cfg.MaxMessageBytes, responseHeader{Error: asRemoteError(err)})
	}
	_, _ = stream.Write(message)
	_ = stream.Close()
	stream.CancelRead(streamCancelled)
}

func startSpan(ctx context.Context, kind trace.SpanKind, method Method, peer netip.AddrPort) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, string(method), trace.WithSpanKind(kind),
		trace.WithAttributes(attribute.String("network.peer.address", peer.String())))
}

func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
}
