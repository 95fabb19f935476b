package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// sendVersion sends a request as a client of a version of HTTP, and returns the response up to the end of its connection.
func (f *fixture) sendVersion(t *testing.T, version, path, header string) (got clientResponse, id string) {
	host := strings.TrimPrefix(f.url, "http://")
	conn, err := net.Dial("tcp4", host)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	f.n++
	id = fmt.Sprintf("r%d", f.n)
	attempt := http.Header{}
	platform.SetAttempt(attempt, id, 5000)
	var lines strings.Builder
	_ = attempt.Write(&lines)
	_, err = fmt.Fprintf(conn, "POST %sx %s\r\nHost: %s\r\nContent-Length: 6\r\n%s%s\r\nprompt", path, version, host, lines.String(), header)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientResponse{err: err}, id
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}, id
}

// event returns the nth event of a stream.
func event(id string, n int) string {
	return string(platform.FormatEvent(int64(n), streamtarget.Data(id, n)))
}

func write(conn net.Conn, text ...string) {
	for _, part := range text {
		_, _ = io.WriteString(conn, part)
	}
}

// breaks are how a target breaks off a stream.
var breaks = map[string]rawAnswer{
	"closed after an event": func(conn net.Conn, _ int, id string) bool {
		write(conn, rawHead(200, id, chunkedStream), chunk(event(id, 0)), chunk(event(id, 1)))
		return false
	},
	"closed after the last event": func(conn net.Conn, _ int, id string) bool {
		write(conn, rawHead(200, id, chunkedStream), chunk(wholeStream(id)))
		return false
	},
	"reset in an event": func(conn net.Conn, _ int, id string) bool {
		write(conn, rawHead(200, id, chunkedStream), chunk(event(id, 0)), chunk(event(id, 1)[:9]))
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	},
	"silent after an event": func(conn net.Conn, _ int, id string) bool {
		write(conn, rawHead(200, id, chunkedStream), chunk(event(id, 0)))
		time.Sleep(pause)
		return false
	},
}

// notTheRest are answers of the next target that are not the rest of the stream.
var notTheRest = map[string]func(id string) string{
	"200, a page": func(id string) string {
		return rawHead(200, id, "Content-Type: text/html\r\nContent-Length: 6\r\n\r\nfailed")
	},
	"200, lines of text": func(id string) string {
		return rawHead(200, id, "Content-Type: text/plain\r\nContent-Length: 8\r\n\r\nfailed\n\n")
	},
	"200, an empty page": func(id string) string {
		return rawHead(200, id, "Content-Type: text/html\r\nContent-Length: 0\r\n\r\n")
	},
	"200, nothing": func(id string) string { return rawHead(200, id, "Content-Length: 0\r\n\r\n") },
	"200, no events": func(id string) string {
		return rawHead(200, id, chunkedStream) + chunk("event: error\ndata: failed\n\n") + lastChunk
	},
	"200, its head once more": func(id string) string {
		return rawHead(200, id, chunkedStream) + chunk(rawHead(500, id, "\r\n")) + lastChunk
	},
	"204":                       func(id string) string { return rawHead(204, id, "\r\n") },
	"204, a stream by its type": func(id string) string { return rawHead(204, id, "Content-Type: text/event-stream\r\n\r\n") },
	"302":                       func(id string) string { return rawHead(302, id, "Location: /\r\nContent-Length: 0\r\n\r\n") },
	"404":                       func(id string) string { return rawHead(404, id, "Content-Length: 6\r\n\r\nfailed") },
	"500":                       func(id string) string { return rawHead(500, id, "Content-Length: 6\r\n\r\nfailed") },
	"500, events":               func(id string) string { return rawHead(500, id, chunkedStream) + chunk(event(id, 2)) + lastChunk },
	"503":                       func(id string) string { return rawHead(503, id, "Content-Length: 6\r\n\r\nfailed") },
	"503, not run": func(id string) string {
		return rawHead(503, id, headerLines(platform.WriteNotRun)+"Content-Length: 0\r\n\r\n")
	},
	"421":                    func(id string) string { return rawHead(421, id, "Content-Length: 0\r\n\r\n") },
	"a head that breaks off": func(id string) string { return rawHead(200, id, "Content-Ty") },
}

// Guards against an answer of the next target in the middle of a stream, and against a stream that ends as complete after it.
func TestBrokenStreamAfterWhichTheNextTargetFails(t *testing.T) {
	for broken, first := range breaks {
		for name, answer := range notTheRest {
			for _, client := range []struct{ version, header string }{{"HTTP/1.1", ""}, {"HTTP/1.1", "Connection: close\r\n"}, {"HTTP/1.0", ""}, {"HTTP/1.0", "Connection: keep-alive\r\n"}} {
				t.Run(strings.TrimSpace(fmt.Sprintf("%s, %s, %s %s", broken, name, client.version, client.header)), func(t *testing.T) {
					t.Parallel()
					// On a busy machine the first event may come so late that an attempt is used up before the stream breaks off.
					isAsked := false
					for try := 0; try < 5 && !isAsked; try++ {
						f, runs := startRaw(t, false, first, func(conn net.Conn, _ int, id string) bool {
							write(conn, answer(id))
							return false
						})
						got, id := f.sendVersion(t, client.version, "/resumable/", client.header)
						checkBroken(t, got, id)
						isAsked = runs[1].Load() > 0
					}
					qt.Check(t, isAsked, qt.IsTrue)
				})
			}
		}
	}
}

// checkBroken checks that a client has got a part of its stream, and sees that the rest is missing.
func checkBroken(t *testing.T, got clientResponse, id string) {
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, got.body, qt.Not(qt.Equals), "")
	qt.Check(t, strings.HasPrefix(wholeStream(id), got.body), qt.IsTrue, qt.Commentf("%q", got.body))
	qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("the stream looks complete after %q", got.body))
}

// Guards against a complete stream whose end looks like a failure to a client of HTTP/1.0.
func TestWholeStreamEndsInTheClientsFraming(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		f := start(t, 4)
		f.targets[0].Inject(streamtarget.CutMidEvent)
		got, id := f.sendVersion(t, version, "/resumable/", "Connection: close\r\n")
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, wholeStream(id))
	}
}

// Guards against a target that breaks off a stream that may run only once, and a second one that gets it.
func TestBrokenStreamThatMayRunOnlyOnce(t *testing.T) {
	for broken, first := range breaks {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				f, _ := startRaw(t, false, first)
				got, id := f.sendVersion(t, version, "/once/", "")
				checkBroken(t, got, id)
				qt.Check(t, f.targets[1].Runs(id), qt.Equals, 0)
			}
		})
	}
}

// Guards against a stream that looks complete to the client that resumes it, because a target's answer is a success and no stream.
func TestResumedStreamThatIsAnsweredWithoutAStream(t *testing.T) {
	for name, answer := range notTheRest {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(conn net.Conn, _ int, id string) bool {
				write(conn, answer(id))
				return false
			}
			f, _ := startRaw(t, false, respond, respond)
			header := http.Header{}
			platform.SetResume(header, "r0", 1)
			var lines strings.Builder
			_ = header.Write(&lines)
			got, _ := f.sendVersion(t, "HTTP/1.1", "/resumable/", lines.String())
			qt.Check(t, got.status/100 == 2 && got.err == nil, qt.IsFalse, qt.Commentf("status %d, body %q", got.status, got.body))
		})
	}
}

// Guards against a stream that is left for an error of the next target, although its own target was only silent.
func TestSilentStreamGoesOnAfterTheNextTargetHasFailed(t *testing.T) {
	for name, answer := range notTheRest {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, runs := startRaw(t, false, func(conn net.Conn, _ int, id string) bool {
				write(conn, rawHead(200, id, chunkedStream), chunk(event(id, 0)))
				time.Sleep(pause)
				write(conn, chunk(strings.TrimPrefix(wholeStream(id), event(id, 0))), lastChunk)
				return false
			}, func(conn net.Conn, _ int, id string) bool {
				write(conn, answer(id))
				return false
			})
			got, id := f.sendVersion(t, "HTTP/1.1", "/thrice/", "")
			qt.Check(t, runs[1].Load() > 0, qt.IsTrue)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, wholeStream(id))
		})
	}
}
