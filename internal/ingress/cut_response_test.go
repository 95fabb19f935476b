package ingress_test

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a success that reaches a client as whole although its target stopped in the head, or in the head of a chunk.
func TestResponseThatIsCutIsNoSuccess(t *testing.T) {
	for name, cut := range map[string]func(id string) string{
		"in the status":          func(string) string { return "HTTP/1.1 20" },
		"after the status line":  func(string) string { return "HTTP/1.1 200 OK\r\n" },
		"in a header":            func(id string) string { return rawHead(200, id, "Content-Len") },
		"after a header":         func(id string) string { return rawHead(200, id, "Content-Length: 0\r\n") },
		"in the empty line":      func(id string) string { return rawHead(200, id, "Content-Length: 0\r\n\r") },
		"before the body":        func(id string) string { return rawHead(200, id, "Content-Length: 6\r\n\r\n") },
		"in the body":            func(id string) string { return rawHead(200, id, "Content-Length: 6\r\n\r\nbo") },
		"before the first chunk": func(id string) string { return rawHead(200, id, chunkedStream) },
		"in the size of a chunk": func(id string) string { return rawHead(200, id, chunkedStream) + chunk(event(id, 0)) + "1" },
		"after the last chunk":   func(id string) string { return rawHead(200, id, chunkedStream) + chunk(event(id, 0)) + "0\r\n" },
		"in the trailer": func(id string) string {
			return rawHead(200, id, chunkedStream) + chunk(event(id, 0)) + "0\r\nX-A: b\r\n"
		},
		"in an interim response": func(string) string { return "HTTP/1.1 103 X\r\nX-A: b\r\n" },
		"before the response":    func(string) string { return "HTTP/1.1 103 X\r\n\r\n" },
	} {
		for _, path := range []string{"/unsafe/", "/once/", "/plain/", "/resumable/"} {
			for end, reset := range map[string]bool{"closed": false, "reset": true} {
				t.Run(name+", "+path+", "+end, func(t *testing.T) {
					t.Parallel()
					answer := func(conn net.Conn, _ int, id string) bool {
						write(conn, cut(id))
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return false
					}
					for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
						f, _ := startRaw(t, false, answer, answer)
						got, _ := f.sendVersion(t, version, path, "")
						qt.Check(t, got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("status %d, body %q", got.status, got.body))
					}
				})
			}
		}
	}
}
