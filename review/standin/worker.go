package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of the workers, from the sheets and the page on the protocol.
const (
	heartbeat = 1200 * time.Millisecond
	// silentPings is the number of intervals of silence after which the entry of a worker that says nothing is removed.
	silentPings = 3
	slots       = 8
)

// script says how a worker answers a request. The zero value answers soundly.
type script struct {
	// crashAfter is the number of events after which the worker crashes, counted in this run. Zero: before the first. Negative: never.
	crashAfter int
	// crashDelay is the time between that event and the crash.
	crashDelay time.Duration
	events     int
	interval   time.Duration
	// first is the time to the first event.
	first time.Duration
	// data returns the data of an event.
	data func(id string, event int) string
	// silent makes the worker accept the request and send nothing.
	silent bool
}

// run is a request that a worker began to work on.
type run struct {
	worker, id, path string
	at               time.Time
	lastEvent        int
}

// workerConfig says how workers behave.
type workerConfig struct {
	// behave chooses the script of a request.
	behave func(path, id string) script
	onRun  func(run)
	// onCrash is called when a request crashes the worker.
	onCrash func(path, id string)
	// onEnd is called when a request has run to its end.
	onEnd func(path, id string)
	// restart is how long a worker is down after a crash.
	restart time.Duration
}

// worker is a stand-in for a model worker. Each start is a boot with an ID of its own.
type worker struct {
	workerConfig
	record  *record
	store   *store
	service string
	name    string
	zone    string
	address string

	mu       sync.Mutex
	boot     int
	id       string
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	running  int
	stop     chan struct{}
	ended    bool
	// cut means that the worker can't reach the store.
	cut bool
	// registered means that the store has the worker's entry.
	registered bool
}

// setCut cuts the worker off from the store, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.record.log(w.name, "cut off from the store: %v", cut)
}

// state reports whether the worker is cut off or not registered, and the number of its requests.
func (w *worker) state() (away bool, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut || !w.registered, w.running
}

func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.boot++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.boot)
	w.listener, w.conns, w.running, w.stop = listener, map[net.Conn]bool{}, 0, make(chan struct{})
	id, stop, conns := w.id, w.stop, w.conns
	w.server = &http.Server{
		ErrorLog: log.New(io.Discard, "", 0),
		Handler:  http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, id, stop) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if state == http.StateNew {
				conns[c] = true
			} else if state == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	go w.register(id, stop)
	w.record.log(w.name, "started as %s at %s", id, w.address)
	return nil
}

// register keeps the worker's entry in the store, which the store removes after intervals of silence.
func (w *worker) register(id string, stop chan struct{}) {
	seq, silent := 0, 0
	for {
		seq++
		w.mu.Lock()
		cut, registered := w.cut, w.registered
		w.mu.Unlock()
		if cut {
			silent++
		} else {
			silent = 0
			// The entry changes when more than seq changes.
			if !registered {
				entry, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": seq})
				w.store.put("servers", id, entry)
			}
		}
		if removed := silent == silentPings; removed || !registered && !cut {
			if removed {
				w.store.remove("servers", id)
			}
			w.mu.Lock()
			w.registered = !removed
			w.mu.Unlock()
			w.record.log(w.name, "entry of %s in the store: %v", id, !removed)
		}
		select {
		case <-time.After(heartbeat):
		case <-stop:
			// The entry is removed after intervals of silence.
			w.mu.Lock()
			w.registered = false
			w.mu.Unlock()
			time.Sleep(silentPings * heartbeat)
			w.store.remove("servers", id)
			return
		}
	}
}

// crash ends the boot as the end of its process does: the listener and all channels are closed. It reports whether the boot was running.
func (w *worker) crash(id string) bool {
	w.mu.Lock()
	if w.id != id || w.server == nil {
		w.mu.Unlock()
		return false
	}
	close(w.stop)
	server, listener := w.server, w.listener
	conns := w.conns
	w.server, w.conns = nil, map[net.Conn]bool{}
	list := make([]net.Conn, 0, len(conns))
	for c := range conns {
		list = append(list, c)
	}
	w.mu.Unlock()
	_ = listener.Close()
	for _, c := range list {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	go func() { _ = server.Close() }()
	if w.restart > 0 {
		go func() {
			time.Sleep(w.restart)
			for w.start() != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	return true
}

func (w *worker) close() {
	w.mu.Lock()
	w.ended = true
	id := w.id
	w.mu.Unlock()
	w.crash(id)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, id string, stop chan struct{}) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		rw.Header().Set("X-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	full := w.running >= slots
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full || attempt == "" {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	last := -1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		last = n
	}
	w.onRun(run{worker: w.name, id: attempt, path: r.URL.Path, at: time.Now(), lastEvent: last})
	w.stream(rw, r, id, attempt, last, stop)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, attempt string, last int, stop chan struct{}) {
	s := w.behave(r.URL.Path, attempt)
	if s.silent {
		<-r.Context().Done()
		return
	}
	crash := func() {
		if s.crashDelay > 0 {
			time.Sleep(s.crashDelay)
		}
		if w.crash(id) {
			w.record.log(w.name, "%s crashes under %s (attempt %s)", id, r.URL.Path, attempt)
			w.onCrash(r.URL.Path, attempt)
		}
	}
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
		case <-stop:
		}
		return false
	}
	// A response that the worker does not end must not look complete.
	abort := func() { panic(http.ErrAbortHandler) }
	if !pause(s.first) {
		abort()
	}
	if s.crashAfter == 0 {
		crash()
		abort()
	}
	rw.Header().Set("X-Attempt-Id", attempt)
	rw.Header().Set("X-Response-Seal", "seal."+id+"."+attempt)
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	sent := 0
	for event := last + 1; event < s.events; event++ {
		if sent > 0 && !pause(s.interval) {
			abort()
		}
		var text strings.Builder
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", event, s.data(attempt, event))
		if _, err := io.WriteString(rw, text.String()); err != nil {
			abort()
		}
		if controller.Flush() != nil {
			abort()
		}
		if sent++; sent == s.crashAfter {
			crash()
			abort()
		}
	}
	if w.onEnd != nil {
		w.onEnd(r.URL.Path, attempt)
	}
}
