package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/drain"
	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// atOnce bounds the time of a refusal, in less than half of the timeout of the routes.
const atOnce = longTimeout / 3

// startDraining starts two targets behind routes with longTimeout.
func startDraining(t *testing.T) *fixture { return startPausing(t, 4, longTimeout, pause, "v1", "v1") }

// drainWithin begins a shutdown in which the last response has to be complete after a time.
func (f *fixture) drainWithin(answer time.Duration) {
	now := time.Now()
	f.server.Drain(drain.Plan{Started: now, AnswerBy: now.Add(answer), ExitBy: now.Add(answer)})
}

// assertRefused checks that a request was refused at once, with when to come back, and has not run.
func (f *fixture) assertRefused(t *testing.T, got clientResponse, id string) {
	t.Helper()
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, got.took < atOnce, qt.IsTrue, qt.Commentf("refused after %s", got.took))
	qt.Assert(t, f.runs(id), qt.Equals, 0)
}

// Guards against requests that are taken during a planned stop and cut off when the process exits.
func TestRequestThatMayOutlastAShutdownIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/resumable/", "/once/", "/plain/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			f := startDraining(t)
			f.drainWithin(longTimeout - 100*time.Millisecond)
			got, id := f.send(t, path)
			f.assertRefused(t, got, id)
			// One that ends in time is served.
			r, id := f.request(t.Context(), path)
			platform.SetAttempt(r.Header, id, 1000)
			got = f.do(r)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, f.runs(id), qt.Equals, 1)
		})
	}
	t.Run("resumed stream", func(t *testing.T) {
		f := startDraining(t)
		_, first := f.send(t, "/resumable/")
		f.drainWithin(longTimeout - 100*time.Millisecond)
		got, id := f.resume(t, "/resumable/", first, 2)
		f.assertRefused(t, got, id)
	})
	t.Run("on a connection that was open before", func(t *testing.T) {
		f := startDraining(t)
		conn, reader := f.open(t)
		for _, draining := range []bool{false, true} {
			if draining {
				f.drainWithin(longTimeout - 100*time.Millisecond)
			}
			r, id := f.request(t.Context(), "/once/")
			began := time.Now()
			qt.Assert(t, r.Write(conn), qt.IsNil)
			got := readResponse(t, reader, r, began)
			if draining {
				f.assertRefused(t, got, id)
				qt.Assert(t, got.header.Get("Connection"), qt.Equals, "close")
				continue
			}
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		}
	})
}

// open opens a connection to the server.
func (f *fixture) open(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, reader *bufio.Reader, r *http.Request, began time.Time) clientResponse {
	response, err := http.ReadResponse(reader, r)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	header := response.Header
	if response.Close {
		header.Set("Connection", "close")
	}
	return clientResponse{response.StatusCode, header, string(body), err, time.Since(began)}
}

// Guards against requests whose bodies arrive during a planned stop, and that are passed on late in it.
func TestBodyThatArrivesTooLateForAShutdownIsNotAwaited(t *testing.T) {
	const partOfBody = "pro"
	for name, drainAfter := range map[string]time.Duration{"that has begun": -1, "that begins meanwhile": 50 * time.Millisecond} {
		t.Run("shutdown "+name, func(t *testing.T) {
			f := startDraining(t)
			shutDown := func() { f.drainWithin(longTimeout + 100*time.Millisecond) }
			if drainAfter < 0 {
				shutDown()
			}
			conn, reader := f.open(t)
			r, id := f.request(t.Context(), "/once/")
			began := time.Now()
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 6\r\n\r\n%s", r.URL.Path, r.URL.Host, id, partOfBody)
			qt.Assert(t, err, qt.IsNil)
			if drainAfter >= 0 {
				time.Sleep(drainAfter)
				shutDown()
			}
			got := readResponse(t, reader, r, began)
			f.assertRefused(t, got, id)
		})
	}
	t.Run("a body in time is read, and its request is not ended by the limit", func(t *testing.T) {
		f := startDraining(t)
		f.inject(streamtarget.PauseFirst)
		conn, reader := f.open(t)
		f.drainWithin(longTimeout + time.Second)
		r, id := f.request(t.Context(), "/once/")
		began := time.Now()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 6\r\n\r\n%s", r.URL.Path, r.URL.Host, id, partOfBody)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, "mpt")
		qt.Assert(t, err, qt.IsNil)
		got := readResponse(t, reader, r, began)
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
		qt.Assert(t, got.took > 200*time.Millisecond, qt.IsTrue)
	})
}

// Guards against requests without a response that end with the process instead of an answer.
func TestRequestsThatOutlastAShutdownAreAnswered(t *testing.T) {
	const left = 150 * time.Millisecond
	answered := func(t *testing.T, f *fixture, path string, began func(id string) bool, status int) {
		r, id := f.request(t.Context(), path)
		answer := make(chan clientResponse, 1)
		go func() { answer <- f.do(r) }()
		for !began(id) {
			time.Sleep(time.Millisecond)
		}
		f.drainWithin(left)
		got := <-answer
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.status, qt.Equals, status)
	}
	for _, path := range []string{"/plain/", "/unsafe/", "/once/"} {
		t.Run("at a target, "+path, func(t *testing.T) {
			f := startPausing(t, 4, longTimeout, pause, "v1")
			f.inject(streamtarget.Hang)
			answered(t, f, path, func(id string) bool { return f.runs(id) > 0 }, http.StatusBadGateway)
		})
	}
}

// waitingJobs holds calls until their context ends.
type waitingJobs struct {
	noJobs
	began chan struct{}
}

func (j waitingJobs) Serve(w http.ResponseWriter, r *http.Request) bool {
	j.began <- struct{}{}
	<-r.Context().Done()
	platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second, "not known")
	return true
}

// Guards against submissions and reads of jobs that end with the process instead of an answer.
func TestJobCallsAreAnsweredDuringAShutdown(t *testing.T) {
	jobs := waitingJobs{began: make(chan struct{}, 10)}
	f := &fixture{adjust: func(c *ingress.Config, table *routing.Table) {
		c.Jobs = jobs
		table.Routes = append(table.Routes, &routing.Route{Name: "batch", Host: table.Routes[0].Host, PathPrefix: "/batch/", Kind: routing.Batch, Services: table.Routes[0].Services})
	}}
	f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v1"})
	f.serve(t, 4, timeout, tolerant)
	read := func() clientResponse {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url+platform.ResultsURI("j", 0), nil)
		qt.Check(t, err, qt.IsNil)
		return f.do(r)
	}
	waiting := make(chan clientResponse, 1)
	go func() { waiting <- read() }()
	<-jobs.began
	f.drainWithin(100 * time.Millisecond)
	got := <-waiting
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	f.assertRefused(t, read(), "")
	submitted, id := f.send(t, "/batch/")
	f.assertRefused(t, submitted, id)
	qt.Assert(t, jobs.began, qt.HasLen, 0)
}
