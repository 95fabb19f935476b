package client_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
)

// Guards against answers of the platform that have no end, which would fill the VM's memory.
func TestAnswerWithoutEndIsAborted(t *testing.T) {
	for name, test := range map[string]struct {
		head, repeated string
		maxBytes       int64
	}{
		"a header":          {"HTTP/1.1 200 OK\r\nX-A: ", "a", 4 << 20},
		"interim responses": {"", "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", 4 << 20},
		"a list":            {"HTTP/1.1 200 OK\r\n\r\n{\"vms\":[", "{},", 20 << 20},
		"a text":            {"HTTP/1.1 200 OK\r\n\r\n{\"vms\":[{\"name\":\"", "a", 20 << 20},
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
				for content := test.head; err == nil && sent.Load() < 128<<20; content = strings.Repeat(test.repeated, 4096) {
					var n int
					n, err = io.WriteString(conn, content)
					sent.Add(int64(n))
				}
			}()
			_, err = client.New("http://"+listener.Addr().String(), 5*time.Second).VMs().List(t.Context())
			qt.Check(t, errors.Is(err, platform.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, sent.Load() < test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes: %v", sent.Load(), err))
		})
	}
}
