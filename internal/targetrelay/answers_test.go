package targetrelay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/targetrelay"
)

// Guards against another VM whose answer has no end, which would fill this VM's memory, or is none, for which requests waited without
// a bound.
func TestInvalidAnswerOfAVMIsAborted(t *testing.T) {
	const (
		maxBytes = 4 << 20
		timeout  = 2 * time.Second
	)
	for name, test := range map[string]struct{ head, repeated string }{
		"a header":          {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n"},
		"no response":       {"", "a"},
		"a failure":         {"HTTP/1.1 502 X\r\n\r\n", "a"},
		"no status":         {"HTTP/1.1 000 X\r\n\r\n", "a"},
		"no HTTP":           {"hello\r\n\r\n", ""},
		"nothing":           {"", ""},
		"a part of a head":  {"HTTP/1.1 200 OK\r\nX", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for content := test.head; err == nil && sent.Load() < 2*maxBytes; content = strings.Repeat(test.repeated, 4096) {
					if content == "" && test.repeated == "" {
						return
					}
					var n int
					n, err = io.WriteString(conn, content)
					sent.Add(int64(n))
				}
			}()
			relay, _, _ := startVM(t, "self", refuse, true, targetrelay.Peer{VM: "other", Address: listener.Addr().String()})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			conn, err := relay.DialTarget(ctx, "127.0.0.1:9")
			if err == nil {
				_ = conn.Close()
			}
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Check(t, sent.Load() < maxBytes, qt.IsTrue, qt.Commentf("%d bytes: %v", sent.Load(), err))
		})
	}
}
