package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

// configureAccounts puts a configuration with accounts "a" and "b" in force, whose keys are ka and kb unless they are revoked.
func (f *fleet) configureAccounts(version int, keysOfB string) {
	f.put(platform.OperatorTable, platform.ConfigKey, fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"r","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
	 {"name":"b","host":"a.example","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
	 "services":[{"name":"s"}],"limits":{"max_body_bytes":100000},
	 "tenants":[{"name":"a","api_keys":["ka"]},{"name":"b","api_keys":[%s]}]}`, version, keysOfB))
}

// as sends a request with credentials, and returns its status and content.
func (f *fleet) as(method, path, id, body string, credentials ...string) (int, string) {
	status, content, err := f.doWith(method, f.vms[0].clients, path, id, body, func(h http.Header) { platform.SetCredentials(h, credentials...) })
	qt.Assert(f.t, err, qt.IsNil)
	return status, content
}

// Whatever a client sends, a request runs for the account that holds its key, or not at all.
func TestKeysOfOtherAccountsGiveNothing(t *testing.T) {
	const a, b = "Bearer ka", "Bearer kb"
	f := startFleet(t)
	f.configureAccounts(2, `"kb"`)
	f.eventually("accounts in force", func() bool {
		status, _ := f.as(http.MethodPost, "/s/x", "probe", "prompt")
		return status == http.StatusUnauthorized
	})
	for i, test := range []struct {
		name, path  string
		credentials []string
		status      int
	}{
		{"its own key", "/s/x", []string{a}, http.StatusOK},
		{"no key", "/s/x", nil, http.StatusUnauthorized},
		{"two headers", "/s/x", []string{a, b}, http.StatusUnauthorized},
		{"two keys in one header", "/s/x", []string{a + ", " + b}, http.StatusUnauthorized},
		{"another scheme", "/s/x", []string{"Basic ka"}, http.StatusUnauthorized},
		{"the key without a scheme", "/s/x", []string{"ka"}, http.StatusUnauthorized},
		{"the name of an account as the key", "/s/x", []string{"Bearer a"}, http.StatusUnauthorized},
		{"the key in the query", "/s/x?api_key=ka&authorization=Bearer%20ka", nil, http.StatusUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			id := fmt.Sprintf("case-%d", i)
			status, _, err := f.doWith(http.MethodPost, f.vms[0].clients, test.path, id, "prompt", func(h http.Header) {
				platform.SetCredentials(h, test.credentials...)
				platform.SetAccount(h, "b")
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, test.status)
			for _, target := range f.targets {
				if target.Runs(id) > 0 {
					qt.Assert(t, status, qt.Equals, http.StatusOK)
					qt.Assert(t, target.Call(id).Accounts, qt.DeepEquals, []string{"a"})
				}
			}
		})
	}
	job := func(item string) string {
		return fmt.Sprintf(`{"items":[{"id":%q,"path":"/b/1","body":"","tokens":10}]}`, item)
	}
	f.eventually("acceptance of the job", func() bool {
		status, _ := f.as(http.MethodPost, "/b/j", "j", job("of-a"), a)
		return status == http.StatusAccepted
	})
	f.eventually("the result", func() bool {
		_, content := f.as(http.MethodGet, platform.ResultsURI("j", 0), "read", "", a)
		return strings.Contains(content, "completed")
	})
	t.Run("the job of another account", func(t *testing.T) {
		for _, call := range [][2]string{{http.MethodGet, platform.ResultsURI("j", 0)}, {http.MethodDelete, platform.JobURI("j")}, {http.MethodGet, platform.BodyURI("j", "of-a")}} {
			status, content := f.as(call[0], call[1], "call", "", b)
			qt.Assert(t, status, qt.Equals, http.StatusNotFound)
			qt.Assert(t, content, qt.Not(qt.Contains), "of-a")
		}
		// The same ID is another job.
		status, _ := f.as(http.MethodPost, "/b/j", "j", job("of-b"), b)
		qt.Assert(t, status, qt.Equals, http.StatusAccepted)
		_, content := f.as(http.MethodGet, platform.ResultsURI("j", 0), "read", "", a)
		qt.Assert(t, content, qt.Contains, "of-a")
		qt.Assert(t, content, qt.Not(qt.Contains), "of-b")
	})
	t.Run("a revoked key", func(t *testing.T) {
		f.configureAccounts(3, "")
		revoked := time.Now()
		f.eventually("status 401", func() bool {
			status, _ := f.as(http.MethodPost, "/s/x", "revoked", "prompt", b)
			return status == http.StatusUnauthorized
		})
		qt.Assert(t, time.Since(revoked) < 5*time.Second, qt.IsTrue)
		status, _ := f.as(http.MethodGet, platform.ResultsURI("j", 0), "read", "", b)
		qt.Assert(t, status, qt.Equals, http.StatusUnauthorized)
	})
}
