package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// A stream of longEvents lasts 4.6 s, within its timeout.
	longEvents, longInterval = 46, 100 * time.Millisecond
	timeLimit                = 5 * time.Second
	// slowBody is how long a body takes that arrives in two parts.
	slowBody = 2500 * time.Millisecond
)

// lateRequest is one request that a client sends to a VM that is told to stop.
type lateRequest struct {
	path string
	// connects and sends are times since SIGTERM. The connection is open before if connects is negative.
	connects, sends time.Duration
	// body is how long the body takes.
	body time.Duration
}

func (r lateRequest) String() string {
	return fmt.Sprintf("%s on a connection of %s, sent after %s with a body of %s", r.path, r.connects, r.sends, r.body)
}

// sendLate plays a request and returns its status, zero if the connection was closed before the process has read the request.
func (f *fleet) sendLate(vm *process, stopped time.Time, r lateRequest, id string) (status int, err error) {
	time.Sleep(time.Until(stopped.Add(r.connects)))
	conn, err := net.DialTimeout("tcp4", vm.clients, time.Second)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(time.Until(stopped.Add(r.sends)))
	const body = "prompt"
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", r.path, host, id, timeLimit.Milliseconds(), len(body), body[:3])
	if err != nil {
		return 0, nil
	}
	time.Sleep(r.body)
	if _, err = io.WriteString(conn, body[3:]); err != nil && r.body == 0 {
		return 0, nil
	}
	sent := time.Now()
	defer func() {
		// The targets may be slower than they should be, on a busy machine.
		if time.Since(sent) >= timeLimit {
			err = nil
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		runs := 0
		for _, target := range f.targets {
			runs += target.Runs(id)
		}
		if runs == 0 {
			// The client may send it again.
			return 0, nil
		}
		return 0, fmt.Errorf("no answer, and the request has run: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, fmt.Errorf("cut after %d bytes: %w", len(content), err)
	}
	return response.StatusCode, nil
}

// Guards against requests that a VM takes during a planned stop and cuts off when its process exits: streams with a cached address,
// and requests late in the grace period on connections that were open before.
func TestRequestsLateInAPlannedStopAreNotCut(t *testing.T) {
	f := startFleet(t)
	f.put(platform.OperatorTable, platform.ConfigKey, strings.ReplaceAll(`{"version":2,"routes":[
	 {"name":"r","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
	 {"name":"u","path_prefix":"/u/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":1,"gap_target_ms":400},
	 {"name":"n","path_prefix":"/n/","route_kind":"non_idempotent","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":1},
	 {"name":"b","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
	 "services":[{"name":"s","health_path":"/health"}],"limits":{"max_body_bytes":100000}}`, `,"path_prefix"`, `,"host":"a.example","path_prefix"`))
	for i := range f.targets {
		f.remove(f.targets[i])
	}
	for i := range 8 {
		f.startTarget(streamtarget.Config{ID: fmt.Sprintf("long-%d", i), Version: "v1", Events: longEvents, Interval: longInterval})
	}
	stopping := f.vms[1]
	f.eventually("the new configuration and targets", func() bool {
		r := lateRequest{path: "/u/"}
		status, _, _ := f.doWith(http.MethodPost, stopping.clients, r.path+"x", fmt.Sprintf("w%d", f.nextID.Add(1)), "prompt", func(h http.Header) { h.Set("X-Deadline-Ms", "100") })
		return status != http.StatusNotFound && status != http.StatusServiceUnavailable
	})
	var requests []lateRequest
	for _, path := range []string{"/s/", "/u/", "/n/"} {
		for sends := time.Duration(0); sends < 7*time.Second; sends += 650 * time.Millisecond {
			requests = append(requests, lateRequest{path: path, connects: sends, sends: sends}, lateRequest{path: path, connects: min(sends, 4*time.Second), sends: sends})
		}
		for _, sends := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			requests = append(requests, lateRequest{path: path, connects: sends, sends: sends, body: slowBody})
		}
	}
	stopped := time.Now()
	qt.Assert(t, stopping.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var mu sync.Mutex
	counts := map[int]int{}
	var clients sync.WaitGroup
	for i, r := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("late-%d", i)
			status, err := f.sendLate(stopping, stopped, r, id)
			if err != nil {
				t.Errorf("%s: %v", r, err)
			}
			for _, target := range f.targets {
				if status == http.StatusServiceUnavailable && target.Runs(id) > 0 {
					t.Errorf("%s: refused, and has run", r)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	qt.Assert(t, <-stopping.exited, qt.IsNil)
	qt.Check(t, time.Since(stopped) < 8*time.Second, qt.IsTrue)
	clients.Wait()
	t.Logf("responses by status: %v", counts)
	qt.Assert(t, counts[http.StatusOK] > 0, qt.IsTrue)
	qt.Assert(t, counts[http.StatusServiceUnavailable] > 0, qt.IsTrue)
}
