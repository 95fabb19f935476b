package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// slots is the number of requests that a worker runs at once, and queue the number that may wait for a slot.
	slots = 8
	queue = 24
	// events is the length of each stream, and eventPause the time between two events.
	events     = 30
	eventPause = 10 * time.Millisecond
	// restartTime is how long after a crash a worker is back.
	restartTime = 3 * time.Second
)

// worker is a server of the deployment, which registers itself in the store. Each start has a new ID.
type worker struct {
	*fleet
	name, address string
	// crashes reports whether a request crashes the worker once its first event is sent.
	crashes func(body string) bool
	// ran is called for each request that the worker begins to run, and crashed for each that it crashed under.
	ran, crashed func(path string)

	mu     sync.Mutex
	starts int
}

func newWorker(f *fleet, name string) *worker {
	address := fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	return &worker{fleet: f, name: name, address: address, crashes: func(string) bool { return false }, ran: func(string) {}, crashed: func(string) {}}
}

// process is one start of a worker.
type process struct {
	*worker
	id      string
	server  *http.Server
	running chan struct{}
	waiting atomic.Int64
	ended   chan struct{}
	end     sync.Once
}

// start opens the listener and registers the worker under a new ID.
func (w *worker) start() *process {
	listener, err := net.Listen("tcp4", w.address)
	check(err)
	w.mu.Lock()
	w.starts++
	p := &process{worker: w, id: fmt.Sprintf("i-%s-%d", w.name, w.starts), running: make(chan struct{}, slots), ended: make(chan struct{})}
	w.mu.Unlock()
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	go p.beat()
	w.printf("server %s started at %s", p.id, w.address)
	return p
}

// beat keeps the row alive. The platform removes it after three intervals of silence.
func (p *process) beat() {
	for seq := 1; ; seq++ {
		p.put(platform.TargetTable, p.id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":%d}`, p.address, slots, seq))
		select {
		case <-p.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash cuts all channels, and starts the worker again after restartTime.
func (p *process) crash(request, path string) {
	p.end.Do(func() {
		p.printf("server %s crashed under request %s %s", p.id, request, path)
		p.crashed(path)
		close(p.ended)
		_ = p.server.Close()
		time.AfterFunc(3*heartbeat, func() { p.remove(platform.TargetTable, p.id) })
		time.AfterFunc(restartTime, func() { p.start() })
	})
}

// admit takes a slot, and waits for it as long as the queue allows.
func (p *process) admit(ctx context.Context) bool {
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > queue {
		return false
	}
	select {
	case p.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := platform.ParseTargetCall(r.Header)
	if call.Instance != "" && call.Instance != p.id {
		platform.WriteReplaced(w, p.id)
		return
	}
	if r.URL.Path == "/health" {
		platform.WriteHealth(w, p.id)
		return
	}
	if !p.admit(r.Context()) {
		platform.SetTargetHeaders(w, call.ID, "")
		platform.WriteNotRun(w)
		return
	}
	defer func() { <-p.running }()
	p.printf("server %s runs %s %s after event %d", p.id, call.ID, r.URL.Path, call.LastEvent)
	p.ran(r.URL.Path)
	platform.SetTargetHeaders(w, call.ID, "seal-"+p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	first := max(call.LastEvent, 0) + 1
	for event := first; event <= events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		_, _ = w.Write(platform.FormatEvent(event, eventData(call.ID, event)))
		_ = http.NewResponseController(w).Flush()
		if event == first && p.crashes(string(body)) {
			time.Sleep(eventPause)
			p.crash(call.ID, r.URL.Path)
			panic(http.ErrAbortHandler)
		}
	}
}

// eventData is the same for a request at all servers.
func eventData(id string, event int64) string { return fmt.Sprintf("%s/%d", id, event) }
