package ingress

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext adds the client's connection to the contexts of its requests. Servers of the handler have it as their ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// setIncomplete states whether the end of the client's connection would leave the response incomplete. A stream to an HTTP/1.0
// client ends with its connection, so that only a reset shows that a part is missing.
func setIncomplete(r *http.Request, incomplete bool) {
	conn, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return
	}
	linger := -1
	if incomplete {
		linger = 0
	}
	// An error means that the client has closed the connection.
	_ = conn.SetLinger(linger)
}
