package callerapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/callerapi"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/requestlog"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const apiKey = "sk-test"

// fakeSource is a settings.Source with a fixed revision.
type fakeSource struct {
	snapshot *settings.Snapshot
	stale    atomic.Bool
}

func (s *fakeSource) Current() *settings.Snapshot { return s.snapshot }
func (s *fakeSource) Fresh() bool                 { return !s.stale.Load() }

// fakeView is a member.View with fixed members.
type fakeView struct{ members []member.Member }

func (v *fakeView) Members() []member.Member { return v.members }
func (v *fakeView) Self() member.Member      { return v.members[0] }

// fakeAdmitter grants the first matching target that has not been tried.
type fakeAdmitter struct {
	targets []*settings.Target

	mu       sync.Mutex
	outcomes []admission.Outcome
	granted  int
	retries  int
}

func (a *fakeAdmitter) Acquire(_ context.Context, request admission.Request) (*admission.Grant, error) {
	for _, target := range a.targets {
		serves := target.Model == request.Model && target.Service == request.Service
		if !serves || slices.Contains(request.Tried, target.Name) {
			continue
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.granted++
		return &admission.Grant{Target: target, Reason: "first that fits", Release: a.release}, nil
	}
	return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNoTarget, Message: "no target", RetryAfter: 1500 * time.Millisecond}
}

func (a *fakeAdmitter) release(outcome admission.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes = append(a.outcomes, outcome)
}

func (a *fakeAdmitter) AllowRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retries++
	return true
}

func (a *fakeAdmitter) ends() []admission.End {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ends []admission.End
	for _, outcome := range a.outcomes {
		ends = append(ends, outcome.End)
	}
	return ends
}

// fixture is the caller-facing API of one entry with scripted targets.
type fixture struct {
	*httptest.Server
	server   *callerapi.Server
	source   *fakeSource
	admitter *fakeAdmitter
	ledger   *idempotency.Ledger
}

// newFixture starts an entry on VM vm whose targets serve model "m" and service "booking".
func newFixture(tb testing.TB, vm string, table platform.Table, configure func(*callerapi.Config), targets ...http.Handler) *fixture {
	digest := sha256.Sum256([]byte(apiKey))
	snapshot, err := settings.Empty().Apply(&settings.Revision{Number: 1, Edits: []settings.Edit{
		{Path: "teams/coop/clients/coop", Document: "key_sha256: [" + hex.EncodeToString(digest[:]) + "]\n"},
	}})
	if err != nil {
		tb.Fatal(err)
	}
	snapshot.Revision = 7
	snapshot.Models = map[string]*settings.Model{"m": {Name: "m", MaxTokens: 100}}
	snapshot.Services = map[string]*settings.Service{
		"booking": {Name: "booking"},
		"private": {Name: "private", Clients: []string{"other"}},
	}
	f := &fixture{admitter: &fakeAdmitter{}, source: &fakeSource{snapshot: snapshot}}
	for i, handler := range targets {
		target := httptest.NewServer(handler)
		tb.Cleanup(target.Close)
		address := strings.TrimPrefix(target.URL, "http://")
		suffix := string(rune('a' + i))
		f.admitter.targets = append(f.admitter.targets,
			&settings.Target{Name: "engine-" + suffix, Address: address, Model: "m", Slots: 1},
			&settings.Target{Name: "booking-" + suffix, Address: address, Service: "booking", Slots: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.ledger = idempotency.New(idempotency.Config{VM: vm, Table: table, ClaimTimeout: 300 * time.Millisecond})
	go f.ledger.Run(ctx)
	config := callerapi.Config{
		VM:          vm,
		Settings:    f.source,
		Members:     &fakeView{members: []member.Member{{VM: vm, State: member.Alive, Callers: "127.0.0.1:8101", AvailabilityZone: "az-a"}}},
		Admission:   f.admitter,
		Engine:      engine.New(engine.Config{EventTimeout: 2 * time.Second}),
		Idempotency: f.ledger,
		Requests:    requestlog.New(requestlog.Config{VM: vm}),
		Log:         zerolog.Nop(),
	}
	if configure != nil {
		configure(&config)
	}
	f.server = callerapi.New(config)
	f.Server = httptest.NewServer(f.server)
	tb.Cleanup(func() {
		f.Server.Close()
		f.ledger.Wait()
		cancel()
	})
	return f
}

// callerResponse is a response as the caller receives it.
type callerResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r callerResponse) code() string {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Code
}

func (f *fixture) send(tb testing.TB, method, path, body string, header http.Header) callerResponse {
	request, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	qt.Assert(tb, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, values := range header {
		request.Header[http.CanonicalHeaderKey(name)] = values
	}
	return f.do(request)
}

func (f *fixture) do(request *http.Request) callerResponse {
	response, err := f.Client().Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(content), err: err}
}

// countingTarget counts the requests that it executes.
type countingTarget struct {
	http.Handler
	count atomic.Int64
}

func newCountingTarget(handle http.HandlerFunc) *countingTarget {
	c := &countingTarget{}
	c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		c.count.Add(1)
		handle(w, r)
	})
	return c
}

func respondJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"id":"x","choices":[],"usage":{"completion_tokens":3}}`)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond503(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

const streamEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

func respondStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, streamEvent+streamEvent+"data: [DONE]\n\n")
}

func abortMidStream(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, streamEvent)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
