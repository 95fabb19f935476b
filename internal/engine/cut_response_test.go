package engine_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Guards against a response that is taken for whole, or for a refusal, although its target stopped at any byte of its head, its
// body, or the head of a chunk.
func TestResponseThatIsCutAtAnyByteMayHaveRun(t *testing.T) {
	const chunkedSSE = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		stream   bool
		want     verdict.Verdict
	}{
		"with a length":               {completeJSON, false, verdict.Completed},
		"in chunks":                   {chunkedHead + "b\r\n{\"ok\":true}\r\n0\r\n\r\n", false, verdict.Completed},
		"in chunks, with a trailer":   {chunkedHead + "b\r\n{\"ok\":true}\r\n0\r\nX-A: b\r\n\r\n", false, verdict.Completed},
		"ends with its connection":    {unframedHead + "{\"ok\":true}", false, verdict.Completed},
		"a refusal":                   {refused503, false, verdict.NotRun},
		"a refused stream":            {refused503, true, verdict.NotRun},
		"a failure":                   {failed500, false, verdict.MayHaveRun},
		"a stream":                    {sseHead + sseEvent + "data: [DONE]\n\n", true, verdict.Completed},
		"a stream in chunks":          {chunkedSSE + "2f\r\n" + sseEvent + "\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true, verdict.Completed},
		"after an interim response":   {"HTTP/1.1 103 X\r\nX-A: b\r\n\r\n" + completeJSON, false, verdict.Completed},
		"a body in place of a stream": {completeJSON, true, verdict.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			send := func(response string, reset bool) error {
				target := startRawTarget(t, func(target *rawTarget, conn net.Conn) {
					if _, ok := target.execute(bufio.NewReader(conn)); !ok {
						return
					}
					_, _ = io.WriteString(conn, response)
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				return clientSend(engine.New(engine.Config{}))(target.address(), test.stream)
			}
			qt.Assert(t, verdict.Of(send(test.response, false)), qt.Equals, test.want)
			// A stream needs nothing after its end mark.
			for n := range strings.TrimSuffix(test.response, "\n\r\n0\r\n\r\n") {
				for _, reset := range []bool{false, true} {
					err := send(test.response[:n], reset)
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun, qt.Commentf("%v after %q, reset %t", err, test.response[max(n-20, 0):n], reset))
				}
			}
		})
	}
}

// Guards against a status that is none, or not a final one, being passed on to a client. net/http's server panics at some of them.
func TestResponseWithAnInvalidStatusMayHaveRun(t *testing.T) {
	for _, status := range []string{"000", "001", "+20", "042", "099", "101", "600", "700", "999"} {
		target := startRawTarget(t, func(target *rawTarget, conn net.Conn) {
			if _, ok := target.execute(bufio.NewReader(conn)); ok {
				_, _ = io.WriteString(conn, strings.Replace(completeJSON, "200 OK", status+" X", 1))
			}
		})
		for _, stream := range []bool{false, true} {
			err := clientSend(engine.New(engine.Config{}))(target.address(), stream)
			qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun, qt.Commentf("%v for status %s, stream %t", err, status, stream))
		}
	}
}
