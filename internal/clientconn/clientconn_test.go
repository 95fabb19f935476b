package clientconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
)

type fixture struct {
	guard   *clientconn.Guard
	address string
}

// start serves a handler that responds with the length of the body.
func start(t *testing.T, memory int64, connections int, limits clientconn.Limits) *fixture {
	f := &fixture{guard: clientconn.New(clientconn.Config{
		Memory: memory, Connections: connections, Limits: func() clientconn.Limits { return limits }, Log: zerolog.Nop(),
	})}
	listener, err := f.guard.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := f.guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := clientconn.Of(r.Context()).ReadBody(r.Body, r.ContentLength, time.Now().Add(20*time.Second))
		var refused *clientconn.RefusedError
		if errors.As(err, &refused) {
			clientconn.Refuse(w, http.StatusServiceUnavailable, refused.RetryAfter, err.Error())
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.address = listener.Addr().String()
	return f
}

func (f *fixture) dial(t *testing.T, text string) net.Conn {
	conn, err := net.Dial("tcp4", f.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

func answer(t *testing.T, conn net.Conn) (*http.Response, string) {
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	content, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response, string(content)
}

func (f *fixture) eventually(t *testing.T, condition func() bool) {
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			connections, bytes := f.guard.InUse()
			t.Fatalf("condition not met: %d connections, %d bytes", connections, bytes)
		}
	}
}

func TestHeadsAreLimited(t *testing.T) {
	const limit = 8 << 10
	head := func(size int) string {
		text := "GET / HTTP/1.1\r\nHost: a\r\nX-Long: %s\r\n\r\n"
		return fmt.Sprintf(text, strings.Repeat("a", size-len(text)+2))
	}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for size, want := range map[int]int{limit: http.StatusOK, limit + 100: 431, limit + 5000: 431, 20 * limit: 431} {
			t.Run(fmt.Sprintf("%s, %d bytes", version, size), func(t *testing.T) {
				f := start(t, 8<<20, 10, clientconn.Limits{HeadBytes: limit})
				response, _ := answer(t, f.dial(t, strings.Replace(head(size), "HTTP/1.1", version, 1)))
				qt.Assert(t, response.StatusCode, qt.Equals, want)
			})
		}
	}
}

func TestHeadsThatStopAreRefused(t *testing.T) {
	f := start(t, 8<<20, 10, clientconn.Limits{HeadTimeout: 50 * time.Millisecond})
	response, _ := answer(t, f.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n"))
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f := start(t, 8<<20, 10, clientconn.Limits{IdleTimeout: 50 * time.Millisecond})
	conn := f.dial(t, "")
	_, err := conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}

// What a client holds is released with each request, so that a kept connection is charged for what it holds now.
func TestNothingIsHeldAfterARequest(t *testing.T) {
	f := start(t, 8<<20, 10, clientconn.Limits{})
	conn := f.dial(t, "")
	reader := bufio.NewReader(conn)
	for i := range 50 {
		body := strings.Repeat("a", i*10_000)
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if i%2 == 1 {
			request = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		_, err := io.WriteString(conn, request)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		content, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(content), qt.Equals, fmt.Sprint(len(body)))
		f.eventually(t, func() bool {
			connections, bytes := f.guard.InUse()
			return connections == 1 && bytes == clientconn.ConnectionBytes
		})
	}
	_ = conn.Close()
	f.eventually(t, func() bool {
		connections, bytes := f.guard.InUse()
		return connections == 0 && bytes == 0
	})
}

func TestStalledBodiesMakeWay(t *testing.T) {
	const size = 1 << 20
	f := start(t, 4<<20, 10, clientconn.Limits{})
	var stalled []net.Conn
	for range 2 {
		stalled = append(stalled, f.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size-1))))
	}
	f.eventually(t, func() bool {
		_, bytes := f.guard.InUse()
		return bytes > 2*size
	})
	// The next body leaves no room for one of the others.
	body := strings.Repeat("a", size+size/2)
	// It comes back until the others count as stalled.
	f.eventually(t, func() bool {
		response, content := answer(t, f.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		return response.StatusCode == http.StatusOK && content == fmt.Sprint(len(body))
	})
	refused := 0
	for _, conn := range stalled {
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue
		}
		refused++
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	f := start(t, 8<<20, 2, clientconn.Limits{})
	for i := range 2 {
		f.dial(t, "")
		f.eventually(t, func() bool {
			connections, _ := f.guard.InUse()
			return connections == i+1
		})
	}
	response, _ := answer(t, f.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}
