package main_test

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

const (
	// unrulySlots is the number of requests that run at unruly targets at the same time.
	unrulySlots      = 128
	unrulyAnswerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
)

const unrulyTargetRoutes = `{"version":3,"routes":[
 {"name":"s","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
 {"name":"n","host":"a.example","path_prefix":"/n/","route_kind":"non_idempotent","timeout_ms":5000,"goal_ms":1000,"service":"s","max_attempts":2},
 {"name":"us","host":"a.example","path_prefix":"/us/","route_kind":"streaming","timeout_ms":20000,"goal_ms":300,"service":"u","max_attempts":2,"gap_target_ms":4000},
 {"name":"un","host":"a.example","path_prefix":"/un/","route_kind":"non_idempotent","timeout_ms":20000,"goal_ms":1000,"service":"u","max_attempts":2},
 {"name":"ub","host":"a.example","path_prefix":"/ub/","route_kind":"batch","goal_ms":500,"service":"u","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
 "services":[{"name":"s","health_path":"/health"},{"name":"u","health_path":"/health"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// answer is how an unruly target answers a request. The connection stays open until the caller closes it.
type answer func(conn net.Conn, id string)

// addUnrulyTarget adds a service u with one target.
func (u *unrulyFleet) addUnrulyTarget(do answer) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(u.t, err, qt.IsNil)
	u.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				switch {
				case err != nil:
				case request.Method == http.MethodGet:
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: unruly\r\nContent-Length: 0\r\n\r\n")
				default:
					do(conn, request.Header.Get("X-Attempt-Id"))
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
		}
	}()
	u.put(platform.OperatorTable, platform.ConfigKey, unrulyTargetRoutes)
	u.put(platform.TargetTable, "unruly", fmt.Sprintf(`{"service":"u","address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready"}`, listener.Addr(), unrulySlots))
	u.eventually("requests reach the unruly target", func() bool {
		status, _, _ := u.do(http.MethodGet, u.vm.clients, "/us/x", fmt.Sprintf("first-%d", u.nextID.Add(1)), "")
		return status != http.StatusNotFound && status != http.StatusServiceUnavailable
	})
}

// send returns an answer that sends a head, and then a text until it has sent n bytes.
func send(head, text string, n int) answer {
	return func(conn net.Conn, id string) {
		c := &unrulyConn{Conn: conn}
		_ = c.send("%s", strings.ReplaceAll(head, "%s", id)) && c.repeat(text, n)
	}
}

// sendEvents returns an answer of n events of a size.
func sendEvents(n, size int) answer {
	return func(conn net.Conn, id string) {
		if _, err := fmt.Fprintf(conn, unrulyAnswerHead+"\r\n", id); err != nil {
			return
		}
		data := strings.Repeat("a", size)
		for i := range n {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", i, data); err != nil {
				return
			}
		}
	}
}

// Processes ran out of memory: what many answers of a target hold short of their ends had no bound together.
func TestAnswersShortOfTheirEndsExhaustMemory(t *testing.T) {
	const event = 1<<20 - 1000
	chunked := strings.Replace(unrulyAnswerHead, "Content-Type", "Transfer-Encoding: chunked\r\nContent-Type", 1)
	for name, do := range map[string]answer{
		"heads":                  send("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Long: ", "a", 60<<10),
		"interim responses":      send("", "HTTP/1.1 103 X\r\nX-Long: "+strings.Repeat("a", 1000)+"\r\n\r\n", 60<<10),
		"events":                 send(unrulyAnswerHead+"\r\nid: 0\ndata: ", "a", event),
		"events of many lines":   send(unrulyAnswerHead+"\r\nid: 0\n", "data: a\n", event),
		"events in chunks":       send(chunked+"\r\nffffff\r\nid: 0\ndata: ", "a", event),
		"events after the first": send(unrulyAnswerHead+"\r\nid: 0\ndata: a\n\nid: 1\ndata: ", "a", event),
		"bodies":                 send(strings.Replace(unrulyAnswerHead, "text/event-stream", "text/plain", 1)+"\r\n", "a", 8<<20),
		"failures":               send(strings.Replace(unrulyAnswerHead, "200 OK", "500 X", 1)+"\r\n", "a", 8<<20),
		"large events":           sendEvents(20, event),
	} {
		t.Run(name, func(t *testing.T) {
			u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
			u.addUnrulyTarget(do)
			for _, path := range []string{"/us/x", "/un/x"} {
				u.crowd(u.vm.clients, unrulySlots/2, func(c *unrulyConn) {
					_ = c.begin("POST", path, "HTTP/1.1", "Content-Length: 100000\r\n\r\n") && c.repeat("a", 100_000)
				})
			}
			time.Sleep(2 * time.Second)
			u.check()
			status, _, err := u.do(http.MethodPost, u.vm.clients, "/n/x", "plain", "prompt")
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, http.StatusOK)
		})
	}
}

// The texts of items had no bound together either.
func TestItemsWithoutEndExhaustMemory(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
	u.addUnrulyTarget(sendEvents(39, 100_000))
	const items = 64
	job := strings.ReplaceAll(jobOf("j", items, 8*items), `"/b/`, `"/ub/`)
	status, _, err := u.do(http.MethodPost, u.vm.clients, "/ub/j", "j", job)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	time.Sleep(3 * time.Second)
	u.check()
}

// Guards against memory that stays reserved for texts that are committed: all of this job's take more than there is.
func TestTextsOfALargeJobFinish(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents, Padding: 4000})
	const items = 90
	status, _, err := u.do(http.MethodPost, u.vm.clients, "/b/j", "j", jobOf("j", items, 8*items))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	u.results("j", u.vm, items)
	u.check()
}
