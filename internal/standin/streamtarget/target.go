// Package streamtarget emulates the targets that users run: it streams events and applies injected faults.
package streamtarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

// Fault is how a target handles one request.
type Fault uint8

// Kinds of faults.
const (
	// None serves the request normally.
	None Fault = iota
	// Shed rejects the request with a not-run response.
	Shed
	// Misdirect responds as if the address now belonged to another target instance.
	Misdirect
	// CutBefore runs the request and resets the connection before the response.
	CutBefore
	// CutMidEvent resets the connection in the middle of the third event.
	CutMidEvent
	// WrongID sends a response with the ID of another request.
	WrongID
	// NoSeal omits the seal from the response.
	NoSeal
	// Unframed sends a response without chunked encoding or a length and resets the connection before its end.
	Unframed
	// SkipEvent omits the third event.
	SkipEvent
	// Fail responds with status 500.
	Fail
	// Reject responds with status 422.
	Reject
	// Empty responds with status 204.
	Empty
	// Page responds with a body that is no stream.
	Page
	// Hang runs the request and sends nothing.
	Hang
	// PauseFirst sends nothing for Config.Pause before the first event.
	PauseFirst
	// SlowFail responds with status 500 after Config.Pause.
	SlowFail
	// PauseMidStream sends nothing for Config.Pause before the third event.
	PauseMidStream
	// Truncate ends the connection in order after the third event of a response that ends with it.
	Truncate
	// Die ends the target after the third event of a response that ends with its connection, as a kernel ends a killed process:
	// the listener is closed, and the connection ends in order.
	Die
)

// HealthPath is the path of health checks.
const HealthPath = "/health"

// Config configures a Target.
type Config struct {
	// ID is the target's ID.
	ID string `yaml:"id" validate:"required"`
	// Address is the TCP address (IP:port) to listen on. Default 127.0.0.1:0.
	Address string `yaml:"address" validate:"omitempty,hostname_port"`
	// Descriptor, unless it is zero, is a listening socket that the process has inherited, which replaces Address. Whoever passed it
	// may hold it longer than the process lives.
	Descriptor int `yaml:"descriptor" validate:"min=0"`
	// Version is the version of the target's software.
	Version string `yaml:"version"`
	// Events is the number of events of each stream.
	Events int `yaml:"events" validate:"min=1"`
	// Interval is the time between events.
	Interval time.Duration `yaml:"interval" validate:"min=0"`
	// EndsWithConnection makes responses end with their connections, without chunks or a length.
	EndsWithConnection bool `yaml:"ends_with_connection"`
	// StatesLength makes responses state their length, without chunks.
	StatesLength bool `yaml:"states_length"`
	// LabelsRuns makes the data of each event name the version, the target and the run.
	LabelsRuns bool `yaml:"labels_runs"`
	// Padding is the number of bytes that the data of each event has in addition.
	Padding int `yaml:"padding" validate:"min=0"`
	// RunLog is the file to which a line for each run is appended, so that runs outlast a process that is killed. Default none.
	RunLog string `yaml:"run_log"`
	// Pause is how long a target with one of the pause faults is silent before it continues.
	Pause time.Duration `yaml:"pause" validate:"min=0"`
	// CrashPart is a part of prompts that crashes the target when it begins to answer: all connections are cut off.
	CrashPart string `yaml:"crash_part"`
}

// Target is a running target.
type Target struct {
	config Config
	server *httptest.Server
	runLog *os.File

	mu     sync.Mutex
	faults []Fault
	runs   map[string]int
	// runCount is the number of all runs.
	runCount int
	// lastEventIDs holds, by request, the last event ID that the sender of each run had already received.
	lastEventIDs map[string][]int64
	// calls holds, by request, the headers of its last run.
	calls   map[string]platform.TargetCall
	active  int
	peak    int
	leaving bool
	// limit is the rate limit that the target states, or empty.
	limit string
	// arrivals are the times at which requests were received.
	arrivals []time.Time
	// cancelled counts the requests whose sender disconnected.
	cancelled int
	// crashes are the times at which a request with Config.CrashPart crashed the target.
	crashes []time.Time
}

// Start starts a target on a free port of 127.0.0.1. Close stops it.
func Start(config Config) *Target {
	t := newTarget(config)
	t.server.Start()
	return t
}

// Listen starts a target at Config.Address or Config.Descriptor.
func Listen(config Config) (*Target, error) {
	var listener net.Listener
	var err error
	if config.Descriptor != 0 {
		listener, err = net.FileListener(os.NewFile(uintptr(config.Descriptor), "listener"))
	} else {
		listener, err = net.Listen("tcp4", config.Address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	t := newTarget(config)
	if config.RunLog != "" {
		if t.runLog, err = os.OpenFile(config.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			_ = listener.Close()
			return nil, fmt.Errorf("open log of runs: %w", err)
		}
	}
	_ = t.server.Listener.Close()
	t.server.Listener = listener
	t.server.Start()
	return t, nil
}

func newTarget(config Config) *Target {
	t := &Target{config: config, runs: map[string]int{}, lastEventIDs: map[string][]int64{}, calls: map[string]platform.TargetCall{}}
	t.server = httptest.NewUnstartedServer(http.HandlerFunc(t.serve))
	return t
}

// Address returns the target's address (IP:port).
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// ID returns the target's ID.
func (t *Target) ID() string { return t.config.ID }

// Version returns the version of the target's software.
func (t *Target) Version() string { return t.config.Version }

// Close closes all connections and stops the target.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// Inject queues faults. Each applies to one of the next requests, in order.
func (t *Target) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// Leave makes the target say in all its responses that it is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// StateLimit makes the target state a rate limit in all its responses, unless it is empty.
func (t *Target) StateLimit(perSecond string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = perSecond
}

// Arrivals returns the times at which requests were received, whether or not they ran.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.arrivals)
}

// setStatements sets the headers in which the target states something about itself.
func (t *Target) setStatements(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		platform.SetLeaving(w)
	}
	if t.limit != "" {
		platform.SetRateLimit(w, t.limit)
	}
}

// Runs returns how often the request with this ID was run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Call returns the headers of the last run of the request with this ID.
func (t *Target) Call(id string) platform.TargetCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[id]
}

// LastEventIDs returns the last event ID that the sender had already received at each run of a request, in the order
// of the runs.
func (t *Target) LastEventIDs(id string) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.lastEventIDs[id])
}

// Concurrency returns the current and the peak number of concurrent requests.
func (t *Target) Concurrency() (current, peak int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active, t.peak
}

// Cancelled returns the number of requests whose sender disconnected.
func (t *Target) Cancelled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled
}

// Crashes returns the times at which a request with Config.CrashPart crashed the target.
func (t *Target) Crashes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.crashes)
}

func (t *Target) crash() {
	t.mu.Lock()
	t.crashes = append(t.crashes, time.Now())
	t.mu.Unlock()
	t.server.CloseClientConnections()
}

// Data returns the data of an event of the request with this ID. Events are numbered from zero.
func Data(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// Text returns the data of all events of a request, joined by line feeds.
func Text(id string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = Data(id, i)
	}
	return strings.Join(lines, "\n")
}

// data returns the data of an event of a run.
func (t *Target) data(id string, event, run int) string {
	data := Data(id, event)
	if t.config.LabelsRuns {
		data += fmt.Sprintf(" %s %s %d", t.config.Version, t.config.ID, run)
	}
	if t.config.Padding > 0 {
		data += " " + strings.Repeat("x", t.config.Padding)
	}
	return data
}

// startRequest counts a request. It returns how it is handled and the number of its run.
func (t *Target) startRequest(call platform.TargetCall) (Fault, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := None
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	if fault != Shed && fault != Misdirect {
		t.runs[call.ID]++
		t.calls[call.ID] = call
		t.lastEventIDs[call.ID] = append(t.lastEventIDs[call.ID], call.LastEvent)
		t.runCount++
		if t.runLog != nil {
			// A run that is missing from the log shows as events of an unknown run.
			_, _ = fmt.Fprintf(t.runLog, "%s %d %s %d\n", t.config.ID, t.runCount, call.ID, call.LastEvent)
		}
	}
	t.arrivals = append(t.arrivals, time.Now())
	t.active++
	t.peak = max(t.peak, t.active)
	return fault, t.runCount
}

func (t *Target) endRequest(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if r.Context().Err() != nil {
		t.cancelled++
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	// The server detects a disconnected sender only once the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	call := platform.ParseTargetCall(r.Header)
	t.setStatements(w)
	if call.Instance != t.config.ID {
		platform.WriteReplaced(w, t.config.ID)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == HealthPath {
		platform.WriteHealth(w, t.config.ID)
		return
	}
	fault, run := t.startRequest(call)
	defer t.endRequest(r)
	switch fault {
	case Shed:
		platform.WriteNotRun(w)
	case Misdirect:
		platform.WriteReplaced(w, "another")
	case CutBefore:
		resetConnection(w)
	case Hang:
		<-r.Context().Done()
	case SlowFail:
		select {
		case <-r.Context().Done():
		case <-time.After(t.config.Pause):
		}
		platform.SetTargetHeaders(w, call.ID, "seal")
		w.WriteHeader(http.StatusInternalServerError)
	case Fail, Reject, Empty, Page:
		status := map[Fault]int{Fail: http.StatusInternalServerError, Reject: http.StatusUnprocessableEntity, Empty: http.StatusNoContent, Page: http.StatusOK}[fault]
		platform.SetTargetHeaders(w, call.ID, "seal")
		w.WriteHeader(status)
		if fault == Page {
			_, _ = io.WriteString(w, "failed")
		}
	default:
		t.stream(w, r, call, fault, run)
	}
}

// resetConnection closes the connection with linger disabled, so that the sender receives a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (t *Target) pauseBefore(event int, fault Fault) time.Duration {
	if fault == PauseFirst && event == 0 || fault == PauseMidStream && event == 2 {
		return t.config.Pause
	}
	return 0
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, call platform.TargetCall, fault Fault, run int) {
	id := call.ID
	if fault == WrongID {
		id = "other"
	}
	platform.SetTargetHeaders(w, id, "seal-"+t.config.ID)
	if fault == NoSeal {
		platform.SetTargetHeaders(w, id, "")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if fault == Unframed || fault == Die || fault == Truncate || t.config.EndsWithConnection {
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
	}
	if t.config.StatesLength {
		length := 0
		for event := int(call.LastEvent) + 1; event < t.config.Events; event++ {
			length += len(platform.FormatEvent(int64(event), t.data(call.ID, event, run)))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	controller := http.NewResponseController(w)
	for event := int(call.LastEvent) + 1; event < t.config.Events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(t.config.Interval + t.pauseBefore(event, fault)):
		}
		if fault == SkipEvent && event == 2 {
			continue
		}
		content := platform.FormatEvent(int64(event), t.data(call.ID, event, run))
		truncated := event == 2 && (fault == CutMidEvent || fault == Unframed)
		if truncated {
			content = content[:len(content)/2]
		}
		if slices.Contains(platform.SharedParts(r.Header), t.config.CrashPart) {
			_ = controller.Flush()
			t.crash()
			return
		}
		// A write to a disconnected sender may fail; the request's context ends the loop.
		_, _ = w.Write(content)
		_ = controller.Flush()
		if truncated {
			resetConnection(w)
			return
		}
		if (fault == Die || fault == Truncate) && event == int(call.LastEvent)+3 {
			if fault == Die {
				_ = t.server.Listener.Close()
			}
			return
		}
	}
}
