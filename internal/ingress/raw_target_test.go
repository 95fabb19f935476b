package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// rawAnswer writes the answer to the nth request on a connection, and reports whether the connection goes on.
type rawAnswer func(conn net.Conn, n int, id string) bool

// startRaw starts a fixture with two targets, of which those with an answer write their bytes themselves.
func startRaw(t *testing.T, reuse bool, answers ...rawAnswer) (f *fixture, runs []*atomic.Int64) {
	f = &fixture{}
	addresses := map[string]string{}
	for i := range 2 {
		f.addTarget(t, streamtarget.Config{ID: fmt.Sprintf("i-%d", i), Version: "v1", Pause: pause})
		count := new(atomic.Int64)
		runs = append(runs, count)
		if i < len(answers) && answers[i] != nil {
			addresses[f.targets[i].Address()] = listenRaw(t, count, answers[i])
		}
	}
	f.adjust = func(c *ingress.Config, _ *routing.Table) {
		c.Targets = platform.NewTargetClient(&streamtarget.Observer{}, platform.DialFunc(func(ctx context.Context, address string) (net.Conn, error) {
			if raw, ok := addresses[address]; ok {
				address = raw
			}
			return platform.DialTarget(ctx, address)
		}))
		if reuse {
			c.Targets.ReuseConnections(func(string) int { return 3 })
			c.Targets.SetTargets(schedulingtest.Registered(service, 4, f.targets...))
			t.Cleanup(c.Targets.CloseConnections)
		}
	}
	f.serve(t, 4, timeout, quarantine.Config{CrashThreshold: 100, MassFailureTargets: 100})
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.log.String())
		}
	})
	return f, runs
}

func listenRaw(t *testing.T, runs *atomic.Int64, answer rawAnswer) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			runs.Add(1)
			if !answer(conn, n, platform.ParseTargetCall(request.Header).ID) {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// headerLines returns the lines of a header of a target's answer.
func headerLines(set func(http.ResponseWriter)) string {
	recorder := httptest.NewRecorder()
	set(recorder)
	var lines strings.Builder
	_ = recorder.Header().Write(&lines)
	return lines.String()
}

// rawHead returns the head of an answer of a target, without the empty line.
func rawHead(status int, id, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s", status, headerLines(func(w http.ResponseWriter) { platform.SetTargetHeaders(w, id, "seal-i-0") }), header)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	chunkedStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk     = "0\r\n\r\n"
)

// Guards against clients that are told to send a request again that a target runs, and against requests that run at a second
// target, because the first one wrote an earlier refusal once more on a connection that is used again.
func TestEarlierRefusalOnAKeptConnection(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\n" + headerLines(platform.WriteNotRun) + "Content-Length: 0\r\n\r\n"
	for path, mayRunAgain := range map[string]bool{"/plain/": true, "/resumable/": true, "/unsafe/": false, "/once/": false} {
		t.Run(path, func(t *testing.T) {
			f, runs := startRaw(t, true, func(conn net.Conn, n int, id string) bool {
				if n > 0 {
					_, _ = io.WriteString(conn, refusal)
				}
				_, err := io.WriteString(conn, rawHead(200, id, chunkedStream)+chunk(wholeStream(id))+lastChunk)
				return err == nil
			})
			got, id := f.send(t, path)
			qt.Assert(t, got.body, qt.Equals, wholeStream(id))
			got, id = f.send(t, path)
			qt.Check(t, runs[0].Load(), qt.Equals, int64(2))
			if mayRunAgain {
				qt.Check(t, got.status, qt.Equals, http.StatusOK)
				qt.Check(t, got.body, qt.Equals, wholeStream(id))
				return
			}
			qt.Check(t, got.status, qt.Equals, http.StatusBadGateway)
			qt.Check(t, f.targets[1].Runs(id), qt.Equals, 0)
		})
	}
}
