// Package peer is the RPC transport between processes of the system, over QUIC with mutual TLS: unary calls,
// bidirectional message streams, and datagrams. Messages are encoded as CBOR.
package peer

import (
	"context"
	"net/netip"
)

// Method is the name of a call or a stream, such as "credits.request".
type Method string

// Identity is the VM name in a peer's certificate and the remote address of its connection.
type Identity struct {
	VM      string
	Address netip.AddrPort
}

// Caller makes calls to other processes.
type Caller interface {
	// Call sends request and decodes the response into response, a pointer. It returns a
	// *RemoteError if the handler failed, and another error if no response arrived.
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

// RemoteError is an error that the called process returned.
type RemoteError struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// CallHandler handles one call. decode decodes the request into a pointer. A returned *RemoteError is passed to the caller.
type CallHandler func(ctx context.Context, from Identity, decode func(request any) error) (response any, err error)

// StreamHandler handles one stream, which ends when the handler returns.
type StreamHandler func(ctx context.Context, from Identity, stream Stream) error

// Registrar registers handlers. They must be registered before the node starts.
type Registrar interface {
	HandleCall(method Method, handler CallHandler)
	HandleStream(method Method, handler StreamHandler)
}
