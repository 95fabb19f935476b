package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is what a worker did with one request.
type run struct {
	at      time.Time
	worker  string
	service string
	id      string
	path    string
	after   int
	// sent is the number of events that were sent, and ended tells how the run ended.
	sent    int
	ended   string
	endedAt time.Time
}

// worker is a stand-in for a model worker.
type worker struct {
	id, service, address string
	slots                int
	// events returns the number of events of a request, and interval is the time between two.
	events   func(id string) int
	interval time.Duration

	fleet    *fleet
	server   *http.Server
	listener net.Listener
	places   chan struct{}
	waiting  sync.Mutex
	queued   int
}

const workerQueue = 24

func (w *worker) start() {
	listener, err := net.Listen("tcp4", w.address)
	must(err)
	w.listener = listener
	w.address = listener.Addr().String()
	w.places = make(chan struct{}, w.slots)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
}

// crash closes the listener and all connections.
func (w *worker) crash() { _ = w.server.Close() }

func (w *worker) entry(state string) map[string]any {
	return map[string]any{"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": w.slots, "state": state, "cold_left_ms": 0, "seq": 1}
}

func (w *worker) register(state string) { w.fleet.store.put("servers", w.id, w.entry(state)) }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Run", "1")
		rw.Header().Set("X-Attempt-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.enter(r) {
		rw.Header().Set("X-Not-Run", "1")
		rw.Header().Set("X-Attempt-Id", id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.places }()
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	run := &run{at: time.Now(), worker: w.id, service: w.service, id: id, path: r.URL.Path, after: after}
	w.fleet.addRun(run)
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Response-Seal", "seal."+id)
	w.stream(rw, r, run)
}

// enter waits for a place, and reports false if the worker is full or the caller has left.
func (w *worker) enter(r *http.Request) bool {
	w.waiting.Lock()
	if w.queued >= workerQueue {
		w.waiting.Unlock()
		return false
	}
	w.queued++
	w.waiting.Unlock()
	defer func() {
		w.waiting.Lock()
		w.queued--
		w.waiting.Unlock()
	}()
	select {
	case w.places <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// eventData is the data of an event of a request, which is the same at all workers.
func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, run *run) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(rw)
	for n := run.after + 1; n <= w.events(run.id); n++ {
		select {
		case <-r.Context().Done():
			w.fleet.endRun(run, "caller left")
			return
		case <-time.After(w.interval):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(run.id, n)); err != nil || controller.Flush() != nil {
			w.fleet.endRun(run, "caller left")
			return
		}
		w.fleet.mu.Lock()
		run.sent++
		w.fleet.mu.Unlock()
	}
	w.fleet.endRun(run, "complete")
}
