// Package peer carries typed messages between our processes over QUIC with mutual TLS: calls with
// one answer, streams of messages, and datagrams. Messages are encoded as CBOR.
package peer

import (
	"context"
	"net/netip"
)

// Method names a call or a kind of stream, such as "credits.request".
type Method string

// Identity is the name in a process's certificate and the address it is connected from.
type Identity struct {
	VM      string
	Address netip.AddrPort
}

// Caller makes calls to other processes.
type Caller interface {
	// Call sends request and decodes the answer into response, a pointer. It fails with
	// *RemoteError when the handler failed, and with another error when no answer came back.
	Call(ctx context.Context, to netip.AddrPort, method Method, request, response any) error
	// OpenStream opens a bidirectional stream of messages.
	OpenStream(ctx context.Context, to netip.AddrPort, method Method) (Stream, error)
}

// Stream carries messages in both directions, in order.
type Stream interface {
	// Send encodes and sends one message. It is safe for concurrent use.
	Send(message any) error
	// Receive decodes the next message into message, a pointer.
	Receive(message any) error
	// Close ends the stream in both directions.
	Close() error
}

// RemoteError is a failure that the called process reported.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// CallHandler answers one call. Decode fills the request, a pointer. A returned *RemoteError is passed to the caller.
type CallHandler func(ctx context.Context, from Identity, decode func(request any) error) (response any, err error)

// StreamHandler serves one stream, which ends when the handler returns.
type StreamHandler func(ctx context.Context, from Identity, stream Stream) error

// Registrar takes handlers. Handlers are registered before the node starts.
type Registrar interface {
	HandleCall(method Method, handler CallHandler)
	HandleStream(method Method, handler StreamHandler)
}
