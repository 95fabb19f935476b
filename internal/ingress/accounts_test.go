package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	validKey = "key-of-acme"
	bound    = 5 * time.Second
)

// accountFixture is an ingress whose configuration has client accounts and can be changed.
type accountFixture struct {
	*fixture
	table atomic.Pointer[routing.Table]
	age   atomic.Int64
	// onAcquire is called before each wait for a slot, with the number of earlier ones. Optional.
	onAcquire func(earlier int64)
	acquired  atomic.Int64
	wanted    atomic.Pointer[scheduler.Request]
	// jobCalls holds the accounts of the requests that reached the jobs, by request.
	jobCalls map[string]*account.Account
}

func (f *accountFixture) Current() *routing.Table { return f.table.Load() }
func (f *accountFixture) Age() time.Duration      { return time.Duration(f.age.Load()) }
func (f *accountFixture) Confirmation() account.Confirmation {
	return account.Confirmation{Age: f.Age(), Known: true}
}

func (f *accountFixture) Submit(w http.ResponseWriter, r *http.Request, _ *routing.Route, _ []byte) {
	f.Serve(w, r)
}

func (f *accountFixture) Serve(_ http.ResponseWriter, r *http.Request) bool {
	f.jobCalls[platform.RequestID(r.Header)] = account.FromContext(r.Context())
	return true
}

type hookedSlots struct {
	scheduling.Slots
	fixture *accountFixture
}

func (s hookedSlots) Acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	earlier := s.fixture.acquired.Add(1) - 1
	s.fixture.wanted.Store(&request)
	if s.fixture.onAcquire != nil {
		s.fixture.onAcquire(earlier)
	}
	return s.Slots.Acquire(ctx, request)
}

// setKeys replaces the keys of the only account.
func (f *accountFixture) setKeys(keys ...string) {
	priority := 3
	entry := account.Entry{Account: account.Account{Name: "acme", Priority: &priority, Weight: 2}}
	for _, key := range keys {
		entry.Keys = append(entry.Keys, account.DigestOf(key))
	}
	directory, err := account.NewDirectory([]account.Entry{entry})
	if err != nil {
		panic(err)
	}
	table := *f.table.Load()
	table.Accounts = directory
	f.table.Store(&table)
}

func startWithAccounts(t *testing.T) *accountFixture {
	f := &accountFixture{fixture: &fixture{}, jobCalls: map[string]*account.Account{}}
	for i := range 2 {
		f.addTarget(t, streamtarget.Config{ID: fmt.Sprintf("i-%d", i), Version: "v1", Pause: pause})
	}
	f.adjust = func(c *ingress.Config, table *routing.Table) {
		host := table.Routes[0].Host
		table.Routes = append(table.Routes,
			&routing.Route{Name: "public", Host: host, PathPrefix: "/public/", Kind: routing.Idempotent, Public: true, Priority: 5,
				Timeout: timeout, LatencyObjective: timeout, MaxAttempts: 2, Services: table.Routes[0].Services},
			&routing.Route{Name: "jobs", Host: host, PathPrefix: "/jobs/", Kind: routing.Batch},
			&routing.Route{Name: "public jobs", Host: "public.example", PathPrefix: "/", Kind: routing.Batch, Public: true})
		f.table.Store(table)
		f.setKeys(validKey)
		c.Configuration, c.Jobs, c.Slots, c.Revocation = f, f, hookedSlots{c.Slots, f}, account.Revocation{Bound: bound}
	}
	f.serve(t, 2, timeout, quarantine.Config{CrashThreshold: 3, MassFailureTargets: 100, MassFailureWindow: time.Millisecond})
	return f
}

// sendAs sends a request with Authorization headers, and with an account that the client claims.
func (f *accountFixture) sendAs(t *testing.T, method, host, path string, authorization ...string) (clientResponse, string) {
	r, id := f.request(t.Context(), path)
	r.Method, r.Host, r.URL.Path = method, host, strings.TrimSuffix(r.URL.Path, "x")
	platform.SetCredentials(r.Header, authorization...)
	platform.SetAccount(r.Header, "claimed")
	return f.do(r), id
}

// reached reports whether a request reached a target or the jobs, and with which account.
func (f *accountFixture) reached(t *testing.T, id string) (reached bool, name string) {
	a, reached := f.jobCalls[id]
	if a != nil {
		name = a.Name
	}
	for _, target := range f.targets {
		if target.Runs(id) > 0 {
			call := target.Call(id)
			qt.Assert(t, call.Authorization, qt.HasLen, 0)
			reached, name = true, strings.Join(call.Accounts, " and ")
		}
	}
	return reached, name
}

func TestRequestsNeedAValidKeyUnlessTheirRouteIsPublic(t *testing.T) {
	const post, get = http.MethodPost, http.MethodGet
	valid, unknown, public := "Bearer "+validKey, "Bearer other", "public.example"
	f := startWithAccounts(t)
	for _, test := range []struct {
		name, method, host, path string
		authorization            []string
		age                      time.Duration
		status                   int
		account                  string
	}{
		{"a valid key", post, "", "/plain/", []string{valid}, 0, 200, "acme"},
		{"a valid key in a scheme of other case", post, "", "/plain/", []string{"bearer " + validKey}, 0, 200, "acme"},
		{"no key", post, "", "/plain/", nil, 0, 401, ""},
		{"an unknown key", post, "", "/plain/", []string{unknown}, 0, 401, ""},
		{"an empty key", post, "", "/plain/", []string{"Bearer "}, 0, 401, ""},
		{"another scheme", post, "", "/plain/", []string{"Basic " + validKey}, 0, 401, ""},
		{"two headers", post, "", "/plain/", []string{valid, valid}, 0, 401, ""},
		{"no route", post, "", "/absent/", nil, 0, 404, ""},
		{"an old configuration", post, "", "/plain/", []string{valid}, bound, 503, ""},
		{"a public route and no key", post, "", "/public/", nil, 0, 200, ""},
		{"a public route and an unknown key", post, "", "/public/", []string{unknown}, 0, 200, ""},
		{"a public route and a valid key", post, "", "/public/", []string{valid}, 0, 200, "acme"},
		{"a public route and an old configuration", post, "", "/public/", []string{valid}, bound, 200, ""},
		{"a job with a key", post, "", "/jobs/", []string{valid}, 0, 200, "acme"},
		{"a job without a key", post, "", "/jobs/", nil, 0, 401, ""},
		{"results with a key", get, "", platform.JobURI("j"), []string{valid}, 0, 200, "acme"},
		{"results without a key", get, "", platform.JobURI("j"), nil, 0, 401, ""},
		{"an end without a key", http.MethodDelete, "", platform.JobURI("j"), nil, 0, 401, ""},
		{"results of a public route without a key", get, public, platform.JobURI("j"), nil, 0, 200, ""},
		{"results of a public route with an unknown key", get, public, platform.JobURI("j"), []string{unknown}, 0, 401, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.age.Store(int64(test.age))
			got, id := f.sendAs(t, test.method, test.host, test.path, test.authorization...)
			qt.Assert(t, got.status, qt.Equals, test.status)
			qt.Assert(t, got.header.Get("WWW-Authenticate") == "Bearer", qt.Equals, test.status == 401)
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			reached, name := f.reached(t, id)
			qt.Assert(t, reached, qt.Equals, test.status == 200)
			qt.Assert(t, name, qt.Equals, test.account)
			if w := f.wanted.Load(); reached && test.path == "/public/" {
				// The priority is that of the account, or else of the route.
				want := map[string]scheduler.Request{"acme": {Weight: 2, Priority: 3}, "": {Priority: 5}}[name]
				qt.Assert(t, scheduler.Request{Weight: w.Weight, Priority: w.Priority}, qt.DeepEquals, want)
				qt.Assert(t, w.Account, qt.Equals, name)
			}
		})
	}
	qt.Assert(t, strings.Contains(f.log.String(), validKey), qt.IsFalse, qt.Commentf("a key was logged"))
	qt.Assert(t, f.log.String(), qt.Contains, `"reason":"unknown_key"`)
}

// A key that was checked only at the arrival of a request was accepted for as long as the request waited for slots.
func TestKeyIsCheckedAgainBeforeEachSend(t *testing.T) {
	outdate := func(f *accountFixture) { f.age.Store(int64(bound)) }
	revoke := func(f *accountFixture) { f.setKeys("new") }
	for _, test := range []struct {
		name, path string
		fault      streamtarget.Fault
		// earlier is the number of waits for a slot before the one in which change is called.
		earlier int64
		change  func(*accountFixture)
		status  int
		runs    int
	}{
		{"revoked before the first attempt", "/plain/", streamtarget.None, 0, revoke, 401, 0},
		{"too old before the first attempt", "/plain/", streamtarget.None, 0, outdate, 503, 0},
		{"revoked before a retry after a refusal", "/plain/", streamtarget.Shed, 1, revoke, 401, 0},
		{"too old before a retry after a refusal", "/plain/", streamtarget.Shed, 1, outdate, 503, 0},
		{"revoked before a retry after a run", "/plain/", streamtarget.CutBefore, 1, revoke, 502, 1},
		{"too old before a retry after a run", "/plain/", streamtarget.CutBefore, 1, outdate, 502, 1},
		{"revoked before the resumption of a stream", "/resumable/", streamtarget.CutMidEvent, 1, revoke, 0, 1},
		{"revoked before the handover from a silent target", "/resumable/", streamtarget.Hang, 1, revoke, 504, 1},
		{"revoked on a public route", "/public/", streamtarget.None, 0, revoke, 200, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startWithAccounts(t)
			f.inject(test.fault)
			f.onAcquire = func(earlier int64) {
				if earlier == test.earlier {
					test.change(f)
				}
			}
			got, id := f.sendAs(t, http.MethodPost, "", test.path, "Bearer "+validKey)
			if test.status == 0 {
				qt.Assert(t, got.err, qt.IsNotNil)
			} else {
				qt.Assert(t, got.status, qt.Equals, test.status)
			}
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			qt.Assert(t, f.runs(id), qt.Equals, test.runs)
			if reached, name := f.reached(t, id); reached {
				qt.Assert(t, name == "", qt.Equals, test.path == "/public/")
			}
		})
	}
}
