package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

// A stream of a killed VM looks complete to a client of HTTP/1.0, since nothing but its connection tells its end.
func TestStreamOfAKilledVMLooksIncompleteToItsClient(t *testing.T) {
	f := startFleet(t)
	f.eventually("streams are served", func() bool { return f.stream(f.vms[0].clients) == nil })
	var bodies []io.Reader
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := net.Dial("tcp4", f.vms[0].clients)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		header := http.Header{}
		platform.SetAttempt(header, "killed-"+version, 5000)
		var lines strings.Builder
		qt.Assert(t, header.Write(&lines), qt.IsNil)
		_, err = fmt.Fprintf(conn, "POST /s/x %s\r\nHost: %s\r\nContent-Length: 6\r\n%s\r\nprompt", version, host, lines.String())
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		bodies = append(bodies, response.Body)
	}
	qt.Assert(t, f.vms[0].command.Process.Kill(), qt.IsNil)
	for _, body := range bodies {
		content, err := io.ReadAll(body)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("the stream looks complete after %d events", strings.Count(string(content), "\n\n")))
	}
}
