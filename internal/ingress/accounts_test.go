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
	granted   atomic.Pointer[scheduler.Request]
	// jobCalls counts the calls that reached the jobs, and jobAccount is the account of the last one.
	jobCalls   int
	jobAccount *account.Account
}

func (f *accountFixture) Current() *routing.Table { return f.table.Load() }
func (f *accountFixture) Age() time.Duration      { return time.Duration(f.age.Load()) }
func (f *accountFixture) Confirmation() account.Confirmation {
	return account.Confirmation{Age: f.Age(), Known: true}
}

func (f *accountFixture) Submit(_ http.ResponseWriter, r *http.Request, _ *routing.Route, _ []byte) {
	f.jobCalls, f.jobAccount = f.jobCalls+1, account.FromContext(r.Context())
}

func (f *accountFixture) Serve(_ http.ResponseWriter, r *http.Request) bool {
	f.jobCalls, f.jobAccount = f.jobCalls+1, account.FromContext(r.Context())
	return true
}

type hookedSlots struct {
	scheduling.Slots
	fixture *accountFixture
}

func (s hookedSlots) Acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	earlier := s.fixture.acquired.Add(1) - 1
	s.fixture.granted.Store(&request)
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
	f := &accountFixture{fixture: &fixture{}}
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
func (f *accountFixture) sendAs(t *testing.T, path string, authorization ...string) (clientResponse, string) {
	r, id := f.request(t.Context(), path)
	platform.SetCredentials(r.Header, authorization...)
	platform.SetAccount(r.Header, "claimed")
	return f.do(r), id
}

func (f *accountFixture) calls(id string) (calls []platform.TargetCall) {
	for _, target := range f.targets {
		if target.Runs(id) > 0 {
			calls = append(calls, target.Call(id))
		}
	}
	return calls
}

func TestRequestsNeedAValidKeyUnlessTheirRouteIsPublic(t *testing.T) {
	f := startWithAccounts(t)
	for _, test := range []struct {
		name, path    string
		authorization []string
		status        int
		accounts      []string
	}{
		{"a valid key", "/plain/", []string{"Bearer " + validKey}, 200, []string{"acme"}},
		{"a valid key in a scheme of other case", "/plain/", []string{"bearer " + validKey}, 200, []string{"acme"}},
		{"no key", "/plain/", nil, 401, nil},
		{"an unknown key", "/plain/", []string{"Bearer other"}, 401, nil},
		{"an empty key", "/plain/", []string{"Bearer "}, 401, nil},
		{"another scheme", "/plain/", []string{"Basic " + validKey}, 401, nil},
		{"a key without a scheme", "/plain/", []string{validKey}, 401, nil},
		{"two headers", "/plain/", []string{"Bearer " + validKey, "Bearer " + validKey}, 401, nil},
		{"no route", "/absent/", nil, 404, nil},
		{"a public route and no key", "/public/", nil, 200, nil},
		{"a public route and an unknown key", "/public/", []string{"Bearer other"}, 200, nil},
		{"a public route and a valid key", "/public/", []string{"Bearer " + validKey}, 200, []string{"acme"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, id := f.sendAs(t, test.path, test.authorization...)
			qt.Assert(t, got.status, qt.Equals, test.status)
			qt.Assert(t, got.header.Get("WWW-Authenticate") == "Bearer", qt.Equals, test.status == 401)
			calls := f.calls(id)
			qt.Assert(t, len(calls) > 0, qt.Equals, test.status == 200)
			for _, call := range calls {
				qt.Assert(t, call.Accounts, qt.DeepEquals, test.accounts)
				qt.Assert(t, call.Authorization, qt.HasLen, 0)
			}
		})
	}
	qt.Assert(t, strings.Contains(f.log.String(), validKey), qt.IsFalse, qt.Commentf("a key was logged"))
	qt.Assert(t, f.log.String(), qt.Contains, `"reason":"unknown_key"`)
}

func TestSlotIsRequestedWithThePriorityOfTheAccountOrElseOfTheRoute(t *testing.T) {
	f := startWithAccounts(t)
	_, _ = f.sendAs(t, "/public/", "Bearer "+validKey)
	qt.Assert(t, *f.granted.Load(), qt.Satisfies, func(r scheduler.Request) bool {
		return r.Account == "acme" && r.Weight == 2 && r.Priority == 3
	})
	_, _ = f.sendAs(t, "/public/")
	qt.Assert(t, *f.granted.Load(), qt.Satisfies, func(r scheduler.Request) bool { return r.Account == "" && r.Priority == 5 })
}

func TestJobCallsNeedAKeyWhereNoBatchRouteIsPublic(t *testing.T) {
	f := startWithAccounts(t)
	for _, test := range []struct {
		name, method, path, host, authorization string
		status                                  int
		account                                 string
	}{
		{"a read with a key", http.MethodGet, platform.ResultsURI("j", 0), "", "Bearer " + validKey, 200, "acme"},
		{"a read without a key", http.MethodGet, platform.ResultsURI("j", 0), "", "", 401, ""},
		{"an end without a key", http.MethodDelete, platform.JobURI("j"), "", "", 401, ""},
		{"a public host without a key", http.MethodGet, platform.BodyURI("j", "i"), "public.example", "", 200, ""},
		{"a public host with an unknown key", http.MethodGet, platform.BodyURI("j", "i"), "public.example", "Bearer other", 401, ""},
		{"a submission with a key", http.MethodPost, "/jobs/", "", "Bearer " + validKey, 200, "acme"},
		{"a submission without a key", http.MethodPost, "/jobs/", "", "", 401, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.jobCalls, f.jobAccount = 0, nil
			r, err := http.NewRequestWithContext(t.Context(), test.method, f.url+test.path, nil)
			qt.Assert(t, err, qt.IsNil)
			r.Host = test.host
			if test.authorization != "" {
				platform.SetCredentials(r.Header, test.authorization)
			}
			qt.Assert(t, f.do(r).status, qt.Equals, test.status)
			qt.Assert(t, f.jobCalls == 1, qt.Equals, test.status == 200)
			qt.Assert(t, f.jobAccount != nil && f.jobAccount.Name == test.account, qt.Equals, test.account != "")
		})
	}
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
			got, id := f.sendAs(t, test.path, "Bearer "+validKey)
			if test.status == 0 {
				qt.Assert(t, got.err, qt.IsNotNil)
			} else {
				qt.Assert(t, got.status, qt.Equals, test.status)
			}
			qt.Assert(t, got.header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			qt.Assert(t, f.runs(id), qt.Equals, test.runs)
			for _, call := range f.calls(id) {
				qt.Assert(t, call.Accounts == nil, qt.Equals, test.path == "/public/")
			}
		})
	}
}

func TestOutdatedConfigurationRefusesKeysAndServesPublicRoutes(t *testing.T) {
	f := startWithAccounts(t)
	f.age.Store(int64(bound))
	got, id := f.sendAs(t, "/plain/", "Bearer "+validKey)
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, f.runs(id), qt.Equals, 0)
	got, id = f.sendAs(t, "/public/", "Bearer "+validKey)
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	qt.Assert(t, f.calls(id)[0].Accounts, qt.HasLen, 0)
}
