// Package streamtarget is a stand-in of the users' targets: it streams events and fails on command.
package streamtarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

// Fault is what a target does to one request.
type Fault uint8

// Faults.
const (
	// None serves the request.
	None Fault = iota
	// Shed refuses it as not run.
	Shed
	// Misdirect answers as another target.
	Misdirect
	// CutBefore runs it and resets the connection before the response.
	CutBefore
	// CutMidEvent resets the connection inside the third event.
	CutMidEvent
	// WrongID answers for another request.
	WrongID
	// NoSeal leaves the seal out.
	NoSeal
	// Unframed sends a response without a length and resets the connection before its end.
	Unframed
	// SkipEvent leaves an event out.
	SkipEvent
	// Fail answers with status 500.
	Fail
	// Reject answers with status 422.
	Reject
	// Hang runs it and sends nothing.
	Hang
)

// Config configures a Target.
type Config struct {
	// ID is the target's ID.
	ID string
	// Events is the number of events of each stream.
	Events int
	// Interval is the time between events.
	Interval time.Duration
}

// Target is a running stand-in.
type Target struct {
	config Config
	server *httptest.Server

	mu     sync.Mutex
	faults []Fault
	runs   map[string]int
	// resumed are the last events that the senders of runs had already, the latest run last.
	resumed map[string][]int64
	active  int
	most    int
	// cancelled counts requests whose sender went away.
	cancelled int
}

// Start starts a target on 127.0.0.1. Close ends it.
func Start(config Config) *Target {
	t := &Target{config: config, runs: map[string]int{}, resumed: map[string][]int64{}}
	t.server = httptest.NewServer(http.HandlerFunc(t.serve))
	return t
}

// Address returns the target's address (IP:port).
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// ID returns the target's ID.
func (t *Target) ID() string { return t.config.ID }

// Close ends the target.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// Inject makes the next requests fail, one fault each.
func (t *Target) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// Runs returns how often a request was run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// LastEventIDs returns the last events that the senders of the runs of a request had already, in the order of the runs.
func (t *Target) LastEventIDs(id string) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.resumed[id])
}

// Concurrency returns the number of requests that run now, and the most at any time.
func (t *Target) Concurrency() (now, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active, t.most
}

// Cancelled returns the number of requests whose sender went away.
func (t *Target) Cancelled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled
}

// Data returns the data of an event of a request.
func Data(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// Text returns the whole data of a request, with line feeds between events.
func Text(id string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = Data(id, i)
	}
	return strings.Join(lines, "\n")
}

func (t *Target) begin(call platform.TargetCall) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := None
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	if fault != Shed && fault != Misdirect {
		t.runs[call.ID]++
		t.resumed[call.ID] = append(t.resumed[call.ID], call.LastEvent)
	}
	t.active++
	t.most = max(t.most, t.active)
	return fault
}

func (t *Target) end(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if r.Context().Err() != nil {
		t.cancelled++
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	// A sender that leaves is noticed only once the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	call := platform.ParseTargetCall(r.Header)
	if call.Instance != t.config.ID {
		platform.WriteReplaced(w, t.config.ID)
		return
	}
	fault := t.begin(call)
	defer t.end(r)
	switch fault {
	case Shed:
		platform.WriteNotRun(w)
	case Misdirect:
		platform.WriteReplaced(w, "another")
	case CutBefore:
		reset(w)
	case Hang:
		<-r.Context().Done()
	case Fail, Reject:
		status := map[Fault]int{Fail: http.StatusInternalServerError, Reject: http.StatusUnprocessableEntity}[fault]
		platform.SetTargetHeaders(w, call.ID, "seal")
		w.WriteHeader(status)
	default:
		t.stream(w, r, call, fault)
	}
}

// reset ends the connection with unread bytes, which the sender sees as a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, call platform.TargetCall, fault Fault) {
	id := call.ID
	if fault == WrongID {
		id = "other"
	}
	platform.SetTargetHeaders(w, id, "seal-"+t.config.ID)
	if fault == NoSeal {
		platform.SetTargetHeaders(w, id, "")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if fault == Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	for event := int(call.LastEvent) + 1; event < t.config.Events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(t.config.Interval):
		}
		if fault == SkipEvent && event == 2 {
			continue
		}
		content := platform.FormatEvent(int64(event), Data(call.ID, event))
		broken := event == 2 && (fault == CutMidEvent || fault == Unframed)
		if broken {
			content = content[:len(content)/2]
		}
		// A sender that is gone is noticed by its context.
		_, _ = w.Write(content)
		_ = control.Flush()
		if broken {
			reset(w)
			return
		}
	}
}
