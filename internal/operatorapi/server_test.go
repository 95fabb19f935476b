package operatorapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

const (
	rootKey = "root-key"
	deskKey = "desk-key"
)

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// directFollower reads the settings from the table on each refresh.
type directFollower struct {
	store    *settingstore.Store
	snapshot *settings.Snapshot
}

func (f *directFollower) Current() *settings.Snapshot { return f.snapshot }
func (f *directFollower) Fresh() bool                 { return true }
func (f *directFollower) Replicate(context.Context)   {}
func (f *directFollower) Refresh(ctx context.Context) {
	if next, _, err := f.store.CatchUp(ctx, f.snapshot); err == nil {
		f.snapshot = next
	}
}

// fakeJobs holds one job.
type fakeJobs struct{ Jobs }

func (fakeJobs) Get(_ context.Context, id string) (Job, error) {
	if id != "job-1" {
		return Job{}, platform.ErrNotFound
	}
	return Job{ID: id, Client: "calls", Status: "in_progress"}, nil
}

// fakeCaller fakes the calls to one entry.
type fakeCaller struct{ peer.Caller }

func (fakeCaller) Call(_ context.Context, _ netip.AddrPort, method peer.Method, request, response any) error {
	switch method {
	case explain.MethodVMs:
		*response.(*explain.VMsResponse) = explain.VMsResponse{VMs: []explain.VMInfo{{VM: "vm-1", EntryPeers: "127.0.0.1:1"}}}
	case explain.MethodRequest:
		id := request.(explain.RequestQuery).ID
		*response.(*explain.Explanation) = explain.Explanation{Found: true, Subject: id, Client: "reminders"}
	default:
		return errors.New("no such method")
	}
	return nil
}

type fixture struct {
	c        *qt.C
	table    *faulty.Table
	settings *forgetfulSettings
	http     http.Handler
}

// forgetfulSettings loses the reply to the next commit if loseReply is set.
type forgetfulSettings struct {
	*settingstore.Store
	loseReply bool
}

func (s *forgetfulSettings) Commit(ctx context.Context, have *settings.Snapshot, change settings.Change) (*settings.Snapshot, error) {
	next, err := s.Store.Commit(ctx, have, change)
	if err == nil && s.loseReply {
		s.loseReply = false
		return nil, errors.New("connection reset")
	}
	return next, err
}

func newFixture(c *qt.C) *fixture {
	p := memory.New()
	table := faulty.New(p)
	store := settingstore.New(table, p.Objects())
	forgetful := &forgetfulSettings{Store: store}
	handler, err := New(Config{
		Settings:      forgetful,
		Follower:      &directFollower{store: store, snapshot: settings.Empty()},
		Jobs:          fakeJobs{},
		Caller:        fakeCaller{},
		RootKeySHA256: digest(rootKey),
	})
	c.Assert(err, qt.IsNil)
	f := &fixture{c: c, table: table, settings: forgetful, http: handler}
	f.put(rootKey, "", nil, `
fleet/operators/desk:
  key_sha256: `+digest(deskKey)+`
  path: teams/desk
teams/desk/clients/calls:
  key_sha256: [`+digest("calls")+`]
teams/games/clients/reminders:
  key_sha256: [`+digest("reminders")+`]
`)
	return f
}

// response is a decoded HTTP response.
type response struct {
	status  int
	body    string
	failure errorDetail
	header  http.Header
}

func (f *fixture) send(method, path, key string, headers map[string]string, body string) response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	f.http.ServeHTTP(w, r)
	content, err := io.ReadAll(w.Body)
	f.c.Assert(err, qt.IsNil)
	got := response{status: w.Code, body: string(content), header: w.Header()}
	var parsed errorBody
	if w.Code >= http.StatusBadRequest && json.Unmarshal(content, &parsed) == nil {
		got.failure = parsed.Error
	}
	return got
}

func (f *fixture) get(key, path string) response { return f.send(http.MethodGet, path, key, nil, "") }

func (f *fixture) put(key, path string, headers map[string]string, body string) response {
	return f.send(http.MethodPut, strings.TrimRight("/v1/settings/"+path, "/"), key, headers, body)
}

// The operation of a change without a key was no key that commits the change once when it is sent again.
func TestChangeOfUnknownOutcomeIsCommittedOnceWhenSentAgain(t *testing.T) {
	for name, key := range map[string]string{"without a key": "", "with a key of the operator": "k1"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(qt.New(t))
			f.settings.loseReply = true
			change := "teams/desk/clients/calls:\n  key_sha256: [" + digest("other") + "]\n"
			base := f.get(deskKey, "/v1/settings/teams/desk").header.Get("ETag")
			lost := f.put(deskKey, "teams/desk", map[string]string{"Idempotency-Key": key, "If-Match": base}, change)
			qt.Assert(t, lost.status, qt.Equals, http.StatusGatewayTimeout)
			again := f.put(deskKey, "teams/desk", map[string]string{"Idempotency-Key": lost.failure.Operation, "If-Match": base}, change)
			qt.Assert(t, again.status, qt.Equals, http.StatusOK, qt.Commentf("%s", again.body))
			var revisions []revisionBody
			qt.Assert(t, json.Unmarshal([]byte(f.get(deskKey, "/v1/settings-history/teams/desk").body), &revisions), qt.IsNil)
			qt.Assert(t, revisions, qt.HasLen, 2)
		})
	}
}

func TestOperatorsAreLimitedToTheirSubtree(t *testing.T) {
	f := newFixture(qt.New(t))
	for _, test := range []struct {
		name     string
		response response
		status   int
	}{
		{"the root key reads the whole tree", f.get(rootKey, "/v1/settings"), 200},
		{"a team reads its own subtree", f.get(deskKey, "/v1/settings/teams/desk"), 200},
		{"a team cannot read another's subtree", f.get(deskKey, "/v1/settings/teams/games"), 403},
		{"a team cannot read the whole tree", f.get(deskKey, "/v1/settings"), 403},
		{"a team cannot read another's history", f.get(deskKey, "/v1/settings-history/teams/games"), 403},
		{"a team cannot change another's subtree", f.put(deskKey, "teams/games", nil, "{}"), 403},
		{"a team reads its own client's job", f.get(deskKey, "/v1/jobs/job-1"), 200},
		{"a team cannot read a request of another team's client", f.get(deskKey, "/v1/explain/requests/vm-1.x"), 404},
		{"the root key reads any request", f.get(rootKey, "/v1/explain/requests/vm-1.x"), 200},
		{"an unknown key is refused", f.get("wrong", "/v1/settings"), 401},
		{"a missing job is not found", f.get(rootKey, "/v1/jobs/none"), 404},
		{"a request of an unknown VM is not found", f.get(rootKey, "/v1/explain/requests/vm-9.x"), 404},
		{"an unknown resource is not found", f.get(rootKey, "/v1/nothing"), 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.response.status, qt.Equals, test.status, qt.Commentf("body: %s", test.response.body))
			if test.status >= 400 {
				qt.Assert(t, test.response.failure.Message, qt.Not(qt.Equals), "")
			}
		})
	}
}

func TestStaleChangeReportsConflictingDocuments(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	etag := f.get(deskKey, "/v1/settings/teams/desk").header.Get("ETag")
	first := f.put(deskKey, "teams/desk/services", map[string]string{"If-Match": `"0"`}, "booking: {timeout: 5s}\n")
	c.Assert(first.status, qt.Equals, 200, qt.Commentf("body: %s", first.body))
	second := f.put(deskKey, "teams/desk", map[string]string{"If-Match": etag}, "services/booking: {timeout: 9s}\n")
	c.Assert(second.status, qt.Equals, http.StatusPreconditionFailed)
	c.Assert(second.failure.Changed, qt.DeepEquals, []string{"teams/desk/services/booking"})
	c.Assert(f.get(deskKey, "/v1/settings/teams/desk/services/booking").body, qt.Contains, "5s")
}

func TestDryRunChangesNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	before := f.get(rootKey, "/v1/settings").body
	c.Assert(f.send(http.MethodPut, "/v1/settings/teams/desk?dry_run=true", deskKey, nil, "services/x: {}\n").status, qt.Equals, 200)
	invalid := f.send(http.MethodPut, "/v1/settings/teams/desk?dry_run=true", deskKey, nil, "services/x: {timeouts: 1s}\n")
	c.Assert(invalid.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(invalid.failure.Problems, qt.HasLen, 1)
	c.Assert(f.get(rootKey, "/v1/settings").body, qt.Equals, before)
}

func TestChangeDuringTableOutage(t *testing.T) {
	t.Run("is rejected as not committed, with Retry-After", func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(c)
		f.table.SetDown(true)
		got := f.put(deskKey, "teams/desk", nil, "services/x: {}\n")
		c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(got.header.Get("Retry-After"), qt.Equals, "5")
	})
	t.Run("with a lost response is committed once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c)
			f.table.Inject(faulty.ResponseLost)
			headers := map[string]string{"Idempotency-Key": "k1"}
			c.Assert(f.put(deskKey, "teams/desk/services", headers, "x: {}\n").status, qt.Equals, 200)
			again := f.put(deskKey, "teams/desk/services", headers, "x: {}\n")
			c.Assert(again.status, qt.Equals, 200)
			var history []revisionBody
			body := f.get(deskKey, "/v1/settings-history/teams/desk/services").body
			c.Assert(json.Unmarshal([]byte(body), &history), qt.IsNil)
			c.Assert(history, qt.HasLen, 1)
			time.Sleep(time.Second)
		})
	})
}
