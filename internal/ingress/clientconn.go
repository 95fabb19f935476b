package ingress

import (
	"net/http"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
)

// setIncomplete states whether the end of the client's connection would leave the response incomplete. A stream to an HTTP/1.0
// client ends with its connection, so that only a reset shows that a part is missing.
func setIncomplete(r *http.Request, incomplete bool) {
	conn := clientconn.Of(r.Context())
	if conn == nil || r.ProtoAtLeast(1, 1) {
		return
	}
	linger := -1
	if incomplete {
		linger = 0
	}
	// An error means that the client has closed the connection.
	_ = conn.SetLinger(linger)
}
