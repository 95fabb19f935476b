package peer

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
)

// Codes of RemoteError that the node itself returns.
const (
	// CodeUnknownMethod means that the called process has no handler for the method.
	CodeUnknownMethod = "unknown_method"
	// CodeFailed means that the handler returned an error without a code.
	CodeFailed = "failed"
	// CodeBadRequest means that the request could not be decoded.
	CodeBadRequest = "bad_request"
)

// UnansweredError means that a call got no response.
type UnansweredError struct {
	// Sent is false only if no byte of the request was sent, so that the handler cannot have run.
	Sent bool
	// Cause is the connection or context error.
	Cause error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	if e.Sent {
		return fmt.Sprintf("peer: request sent, no answer: %v", e.Cause)
	}
	return fmt.Sprintf("peer: request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the handler of a call that ended with err may have run.
func MayHaveRun(err error) bool {
	if unanswered, ok := errors.AsType[*UnansweredError](err); ok {
		return unanswered.Sent
	}
	if remote, ok := errors.AsType[*RemoteError](err); ok {
		return remote.Code != CodeUnknownMethod && remote.Code != CodeBadRequest
	}
	return true
}

// ErrMessageTooLarge means that an encoded message exceeds Config.MaxMessageBytes, or a datagram MaxDatagramBytes.
var ErrMessageTooLarge = errors.New("peer: message too large")

// ErrClosed means that the node is closed.
var ErrClosed = errors.New("peer: node is closed")

// Application error codes of connections and streams.
const (
	codeClosed      quic.ApplicationErrorCode = 0
	codeUnreachable quic.ApplicationErrorCode = 1
	codeBadPeer     quic.ApplicationErrorCode = 2

	streamCancelled quic.StreamErrorCode = 1
	streamFailed    quic.StreamErrorCode = 2
)

func asRemoteError(err error) *RemoteError {
	if remote, ok := errors.AsType[*RemoteError](err); ok {
		return remote
	}
	return &RemoteError{Code: CodeFailed, Message: err.Error()}
}
