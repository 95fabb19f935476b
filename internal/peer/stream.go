package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/trace"
)

// messageStream implements Stream on a QUIC stream.
type messageStream struct {
	quic    *quic.Stream
	conn    *connection
	limit   int64
	decoder *decoder

	sendMu  sync.Mutex
	closed  atomic.Bool
	onClose func()
}

// OpenStream implements Caller. The stream ends when ctx ends or Close is called. It returns
// *UnansweredError if the stream cannot be opened.
func (n *Node) OpenStream(ctx context.Context, to netip.AddrPort, method Method) (Stream, error) {
	ctx, span := startSpan(ctx, trace.SpanKindClient, method, to)
	defer span.End()
	c, stream, err := n.open(ctx, to)
	if err != nil {
		return nil, &UnansweredError{Cause: err}
	}
	s := &messageStream{
		quic:    stream,
		conn:    c,
		limit:   n.cfg.MaxMessageBytes,
		decoder: newDecoder(stream, n.cfg.MaxMessageBytes),
	}
	stop := cancelOnEnd(ctx, stream)
	s.onClose = func() {
		stop()
		c.active.Add(-1)
	}
	if err := s.Send(newHeader(ctx, kindStream, method)); err != nil {
		_ = s.Close()
		return nil, &UnansweredError{Sent: true, Cause: err}
	}
	return s, nil
}

// Send implements Stream.
func (s *messageStream) Send(message any) error {
	encoded, err := encode(s.limit, message)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_, err = s.quic.Write(encoded)
	return err
}

// Receive implements Stream.
func (s *messageStream) Receive(message any) error {
	if err := s.decoder.decode(message); err != nil {
		return err
	}
	s.conn.touch()
	return nil
}

// Close implements Stream.
func (s *messageStream) Close() error {
	if !s.closed.CompareAndSwap(false, true) {
		return nil
	}
	s.sendMu.Lock()
	err := s.quic.Close()
	s.sendMu.Unlock()
	s.quic.CancelRead(streamCancelled)
	s.onClose()
	return err
}

func (n *Node) serveMessages(ctx context.Context, c *connection, stream *quic.Stream, method Method, decoder *decoder) error {
	handler, ok := n.streams[method]
	if !ok {
		resetStream(stream)
		return &RemoteError{Code: CodeUnknownMethod, Message: string(method)}
	}
	if n.isClosed() {
		resetStream(stream)
		return ErrClosed
	}
	s := &messageStream{quic: stream, conn: c, limit: n.cfg.MaxMessageBytes, decoder: decoder, onClose: func() {}}
	err := handler(ctx, c.peer, s)
	if err != nil {
		// A reset lets the peer tell a failure from a normal end of the stream.
		stream.CancelWrite(streamFailed)
	}
	_ = s.Close()
	return err
}
