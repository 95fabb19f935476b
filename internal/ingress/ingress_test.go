package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/evidence"
	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	service = "llm"
	events  = 6
	// timeout is the timeout of the routes.
	timeout = 600 * time.Millisecond
	// pause is how long a healthy target may be silent: longer than the timeouts after which another one is tried.
	pause = 400 * time.Millisecond
)

type configuration struct{ table *routing.Table }

func (c configuration) Current() *routing.Table            { return c.table }
func (c configuration) Age() time.Duration                 { return 0 }
func (c configuration) Confirmation() account.Confirmation { return account.Confirmation{} }

type noJobs struct{}

func (noJobs) Submit(http.ResponseWriter, *http.Request, *routing.Route, []byte) {}
func (noJobs) Serve(http.ResponseWriter, *http.Request) bool                     { return false }

func table(host string, timeout time.Duration) *routing.Table {
	route := func(prefix string, kind routing.Kind, resumable bool, attempts int) *routing.Route {
		return &routing.Route{
			Name: prefix, Host: host, PathPrefix: prefix, Kind: kind, Timeout: timeout, LatencyObjective: 300 * time.Millisecond,
			EventGapObjective: 400 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
			Services: []routing.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return &routing.Table{
		Version: 1,
		Routes: []*routing.Route{
			route("/resumable/", routing.Streaming, true, 2),
			route("/thrice/", routing.Streaming, true, 3),
			route("/once/", routing.Streaming, false, 1),
			route("/plain/", routing.Idempotent, false, 3),
			route("/unsafe/", routing.NonIdempotent, false, 3),
		},
		Services: map[string]routing.Service{service: {Name: service, HealthPath: streamtarget.HealthPath}},
		Limits:   routing.Limits{BodyBytes: 1000},
	}
}

// fixture is an ingress server with two targets.
type fixture struct {
	url     string
	server  *ingress.Server
	targets []*streamtarget.Target
	slots   *scheduling.Service
	log     syncBuffer
	usage   fakeUsage
	n       int
	// store holds what earlier processes recorded. By default, the versions of the targets.
	store *memory.Platform
	// adjust changes the configuration of the server. Optional.
	adjust func(*ingress.Config, *routing.Table)
}

// syncBuffer is a log that tests read while the server writes.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func start(t *testing.T, slots int) *fixture { return startVersions(t, slots, "v1", "v1") }

// startVersions starts a fixture with one target of each version.
func startVersions(t *testing.T, slots int, versions ...string) *fixture {
	return startPausing(t, slots, timeout, pause, versions...)
}

// tolerant does not quarantine requests for injected faults.
var tolerant = quarantine.Config{CrashThreshold: 3, MassFailureTargets: 100, MassFailureWindow: time.Millisecond}

// startPausing starts a fixture with a timeout of the routes, and the pause of targets with a pause fault.
func startPausing(t *testing.T, slots int, timeout, pause time.Duration, versions ...string) *fixture {
	f := &fixture{}
	for i, version := range versions {
		f.addTarget(t, streamtarget.Config{ID: fmt.Sprintf("i-%d", i), Version: version, Pause: pause})
	}
	f.serve(t, slots, timeout, tolerant)
	return f
}

func (f *fixture) addTarget(t *testing.T, config streamtarget.Config) {
	config.Events, config.Interval = events, 2*time.Millisecond
	target := streamtarget.Start(config)
	t.Cleanup(target.Close)
	f.targets = append(f.targets, target)
}

// serve starts the ingress server.
func (f *fixture) serve(t *testing.T, slots int, timeout time.Duration, config quarantine.Config) {
	f.slots = schedulingtest.Start(t, service, slots, f.targets...)
	if f.store == nil {
		f.store = memory.New()
		recordVersions(t, f.store, schedulingtest.Registered(service, slots, f.targets...))
	}
	resolver, _ := startOrigins(t, f.store, schedulingtest.Registered(service, slots, f.targets...))
	server := f.guarded(t)
	table := table(strings.TrimPrefix(server.URL, "http://"), timeout)
	serverConfig := ingress.Config{
		Configuration: configuration{table},
		Slots:         f.slots,
		Targets:       platform.NewTargetClient(&streamtarget.Observer{}, platform.DialFunc(platform.DialTarget)), Jobs: noJobs{}, Origins: resolver, Usage: &f.usage, Log: zerolog.New(&f.log),
		Quarantine: evidence.NewSharedTracker(config),
	}
	if f.adjust != nil {
		f.adjust(&serverConfig, table)
	}
	f.server = ingress.New(serverConfig)
	server.handler.Store(&f.server)
	f.url = server.URL
}

// guardedServer is an HTTP server with bounds on its clients, whose handler is set later.
type guardedServer struct {
	*httptest.Server
	handler atomic.Pointer[*ingress.Server]
}

func (f *fixture) guarded(t *testing.T) *guardedServer {
	guard := clientconn.New(clientconn.Config{
		Memory: 64 << 20, Connections: 1000, Limits: func() clientconn.Limits { return clientconn.Limits{} }, Log: zerolog.New(&f.log),
	})
	s := &guardedServer{Server: httptest.NewUnstartedServer(nil)}
	listener, err := guard.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = s.Listener.Close()
	s.Listener = listener
	s.Config = guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*s.handler.Load()).ServeHTTP(w, r) }))
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// inject queues faults at all targets, so that the next request fails wherever it is sent.
func (f *fixture) inject(faults ...streamtarget.Fault) {
	for _, target := range f.targets {
		target.Inject(faults...)
	}
}

func (f *fixture) request(ctx context.Context, path string) (*http.Request, string) {
	f.n++
	id := fmt.Sprintf("r%d", f.n)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path+"x", strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	platform.SetAttempt(r.Header, id, 5000)
	return r, id
}

// clientResponse is what a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (f *fixture) send(t *testing.T, path string) (clientResponse, string) {
	r, id := f.request(t.Context(), path)
	return f.do(r), id
}

// resume sends a request that resumes the stream that an attempt began.
func (f *fixture) resume(t *testing.T, path, attempt string, lastEvent int64) (clientResponse, string) {
	r, id := f.request(t.Context(), path)
	platform.SetResume(r.Header, attempt, lastEvent)
	return f.do(r), id
}

func (f *fixture) do(r *http.Request) clientResponse {
	began := time.Now()
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return clientResponse{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, response.Header, string(body), err, time.Since(began)}
}

func (f *fixture) runs(id string) int {
	runs := 0
	for _, target := range f.targets {
		runs += target.Runs(id)
	}
	return runs
}

// wholeStream returns the complete stream of a request.
func wholeStream(id string) string {
	var text strings.Builder
	for i := range events {
		text.Write(platform.FormatEvent(int64(i), streamtarget.Data(id, i)))
	}
	return text.String()
}

func TestStreamThatFailsOnAllTargetsIsNotReportedComplete(t *testing.T) {
	for name, fault := range map[string]streamtarget.Fault{
		"connection cut":  streamtarget.CutBefore,
		"cut in an event": streamtarget.CutMidEvent,
		"wrong ID":        streamtarget.WrongID,
		"no seal":         streamtarget.NoSeal,
		"unframed":        streamtarget.Unframed,
		"skipped event":   streamtarget.SkipEvent,
		"no events":       streamtarget.Hang,
		"target lost":     streamtarget.Die,
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, 4)
			f.inject(fault)
			got, id := f.send(t, "/resumable/")
			if got.status == http.StatusOK {
				qt.Assert(t, got.err, qt.IsNotNil)
				qt.Assert(t, strings.HasPrefix(wholeStream(id), got.body), qt.IsTrue, qt.Commentf("%q", got.body))
			}
			qt.Assert(t, f.runs(id), qt.Equals, 2)
		})
	}
}

func TestInterruptedStreamIsResumedOnAnotherTarget(t *testing.T) {
	for name, fault := range map[string]streamtarget.Fault{
		"refused":         streamtarget.Shed,
		"misdirected":     streamtarget.Misdirect,
		"connection cut":  streamtarget.CutBefore,
		"cut in an event": streamtarget.CutMidEvent,
		"wrong ID":        streamtarget.WrongID,
		"no seal":         streamtarget.NoSeal,
		"unframed":        streamtarget.Unframed,
		"skipped event":   streamtarget.SkipEvent,
		"failed":          streamtarget.Fail,
		"no events":       streamtarget.Hang,
		"target lost":     streamtarget.Die,
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, 4)
			// Both targets are free, so the first one by ID gets the request.
			f.targets[0].Inject(fault)
			got, id := f.send(t, "/resumable/")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, wholeStream(id))
			qt.Assert(t, f.targets[1].Runs(id), qt.Equals, 1)
		})
	}
}

// occupy fills the slot of a target for the timeout of a route.
func (f *fixture) occupy(t *testing.T, target *streamtarget.Target) {
	target.Inject(streamtarget.Hang)
	r, id := f.request(t.Context(), "/once/")
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	for target.Runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestStreamOfATargetThatIsSilentForAWhileIsNotCutForLackOfAnotherSlot(t *testing.T) {
	full := func(t *testing.T, f *fixture) int {
		f.occupy(t, f.targets[0])
		return 1
	}
	faulty := func(fault streamtarget.Fault) func(*testing.T, *fixture) int {
		return func(_ *testing.T, f *fixture) int {
			f.targets[1].Inject(fault, fault, fault, fault)
			return 0
		}
	}
	for name, test := range map[string]struct {
		silent streamtarget.Fault
		// prepare makes one target unable to continue the stream, and returns the number of the other one.
		prepare func(t *testing.T, f *fixture) int
	}{
		"before the first event, and the other target is full":   {streamtarget.PauseFirst, full},
		"midway, and the other target is full":                   {streamtarget.PauseMidStream, full},
		"before the first event, and the other target refuses":   {streamtarget.PauseFirst, faulty(streamtarget.Shed)},
		"midway, and the other target refuses":                   {streamtarget.PauseMidStream, faulty(streamtarget.Shed)},
		"midway, and the other target resets the connection":     {streamtarget.PauseMidStream, faulty(streamtarget.CutBefore)},
		"midway, and the other target sends nothing for as long": {streamtarget.PauseMidStream, faulty(streamtarget.Hang)},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, 1)
			silent := f.targets[test.prepare(t, f)]
			silent.Inject(test.silent)
			got, id := f.send(t, "/resumable/")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, wholeStream(id))
			qt.Assert(t, silent.Runs(id), qt.Equals, 1)
		})
	}
}

// Guards against a reused connection that can't be told from the log, and against targets that are blamed for the silence of a
// connection.
func TestLogNamesReusedConnections(t *testing.T) {
	f := &fixture{}
	f.adjust = func(c *ingress.Config, _ *routing.Table) {
		c.Targets.ReuseConnections(func(string) int { return 4 })
		c.Targets.SetTargets(schedulingtest.Registered(service, 4, f.targets...))
	}
	f.addTarget(t, streamtarget.Config{ID: "i-0", Pause: 400 * time.Millisecond})
	f.serve(t, 4, timeout, quarantine.Config{})
	for range 2 {
		response, _ := f.send(t, "/once/")
		qt.Assert(t, response.status, qt.Equals, http.StatusOK)
	}
	qt.Check(t, strings.Count(f.log.String(), `"conn_reused":true`), qt.Equals, 1)
	f.inject(streamtarget.PauseFirst)
	response, _ := f.send(t, "/once/")
	qt.Check(t, response.status, qt.Equals, http.StatusOK)
	qt.Check(t, strings.Count(f.log.String(), "silent on a reused connection"), qt.Equals, 1)
}

func TestNonRetryableRequestRunsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		fault  streamtarget.Fault
		status int
	}{
		"a stream whose target breaks off the connection": {"/once/", streamtarget.CutBefore, http.StatusBadGateway},
		"a stream that carries the ID of another request": {"/once/", streamtarget.WrongID, http.StatusBadGateway},
		"a stream whose target sends nothing":             {"/once/", streamtarget.Hang, http.StatusGatewayTimeout},
		"a call whose target breaks off the connection":   {"/unsafe/", streamtarget.CutBefore, http.StatusBadGateway},
		"a call whose response has no seal":               {"/unsafe/", streamtarget.NoSeal, http.StatusBadGateway},
		"a call that the target ran and failed":           {"/unsafe/", streamtarget.Fail, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, 4)
			f.inject(test.fault)
			got, id := f.send(t, test.path)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, test.status)
			qt.Assert(t, f.runs(id), qt.Equals, 1)
		})
	}
	t.Run("a stream that is interrupted midway ends incomplete", func(t *testing.T) {
		f := start(t, 4)
		f.inject(streamtarget.CutMidEvent)
		got, id := f.send(t, "/once/")
		qt.Assert(t, got.err, qt.IsNotNil)
		qt.Assert(t, f.runs(id), qt.Equals, 1)
	})
	t.Run("a refused request has not run and is retried on another target", func(t *testing.T) {
		f := start(t, 4)
		f.targets[0].Inject(streamtarget.Shed)
		got, id := f.send(t, "/once/")
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	})
	t.Run("a request that all targets refused is reported as not run", func(t *testing.T) {
		f := start(t, 4)
		f.inject(streamtarget.Shed, streamtarget.Shed)
		got, id := f.send(t, "/once/")
		qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, f.runs(id), qt.Equals, 0)
	})
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	f := start(t, 4)
	f.inject(streamtarget.Hang)
	got, _ := f.send(t, "/once/")
	qt.Assert(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, got.took >= timeout && got.took < timeout+400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got.took))
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	f := start(t, 1)
	f.inject(streamtarget.Hang)
	for range 2 {
		r, _ := f.request(t.Context(), "/once/")
		go func() {
			if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	for n, _ := f.targets[1].Concurrency(); n == 0; n, _ = f.targets[1].Concurrency() {
		time.Sleep(time.Millisecond)
	}
	got, id := f.send(t, "/once/")
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.took < 75*time.Millisecond, qt.IsTrue, qt.Commentf("%s", got.took))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, seconds > 0 && seconds <= 5.0/3, qt.IsTrue)
	qt.Assert(t, f.runs(id), qt.Equals, 0)
}

func TestClientDisconnectCancelsTheRequestAtTheTarget(t *testing.T) {
	f := start(t, 4)
	f.inject(streamtarget.Hang)
	ctx, cancel := context.WithCancel(t.Context())
	r, id := f.request(ctx, "/once/")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	for f.runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	disconnected := time.Now()
	for f.targets[0].Cancelled()+f.targets[1].Cancelled() == 0 {
		if time.Since(disconnected) > 500*time.Millisecond {
			t.Fatal("the target still runs the request of a client that disconnected")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestInvalidRequestsAreRejectedWithoutRunning(t *testing.T) {
	f := start(t, 4)
	t.Run("a path without a route", func(t *testing.T) {
		got, _ := f.send(t, "/absent/")
		qt.Assert(t, got.status, qt.Equals, http.StatusNotFound)
	})
	t.Run("a request without an ID", func(t *testing.T) {
		r, _ := f.request(t.Context(), "/once/")
		r.Header = http.Header{}
		_, missing := platform.ParseRequest(r.Header)
		response, err := http.DefaultTransport.RoundTrip(r)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		text, err := bufio.NewReader(response.Body).ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadRequest)
		qt.Assert(t, strings.TrimSpace(text), qt.Equals, missing.Error())
	})
	t.Run("a body over the limit", func(t *testing.T) {
		r, id := f.request(t.Context(), "/once/")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		response, err := http.DefaultTransport.RoundTrip(r)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		qt.Assert(t, f.runs(id), qt.Equals, 0)
	})
}

func TestWithoutConfigurationRequestsAreRefusedWithRetryAfter(t *testing.T) {
	server := ingress.New(ingress.Config{Configuration: configuration{}, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	server.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x/", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestRequestThatCrashesTargetsIsQuarantinedAfterThreeRuns(t *testing.T) {
	f := start(t, 4)
	f.inject(streamtarget.CutBefore, streamtarget.CutBefore, streamtarget.CutBefore, streamtarget.CutBefore)
	runs := 0
	for range 6 {
		got, id := f.send(t, "/once/")
		runs += f.runs(id)
		qt.Assert(t, got.status, qt.Not(qt.Equals), http.StatusOK)
		// Targets that broke off the connection are ejected for a while.
		time.Sleep(500 * time.Millisecond)
	}
	qt.Assert(t, runs, qt.Equals, 3)
}
