package configcheck_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/configcheck"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

func TestEffectsAreStated(t *testing.T) {
	const base = `{"version": 1, "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "idempotent", "max_attempts": 2, "service": "a"}],
		"services": [{"name": "a"}], "tenants": [{"name": "x", "api_keys": ["k"], "rate_per_s": 9, "burst": 3}]}`
	const rest = `"services": [{"name": "a"}], "tenants": [{"name": "x", "api_keys": ["k"], "rate_per_s": 9, "burst": 3}]}`
	const route = `{"name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "idempotent", "max_attempts": 2, "service": "a"}`
	for name, test := range map[string]struct{ next, want string }{
		"route removed":   {`{"routes": [], ` + rest, `route "r" is removed; requests to h/r/ get status 404`},
		"route replaced":  {`{"routes": [{"name": "q", "host": "h", "path_prefix": "/", "service": "a"}], ` + rest, `route "r" is removed; its requests are served by route "q"`},
		"route added":     {`{"routes": [` + route + `, {"name": "q", "host": "h", "path_prefix": "/r/q", "service": "a"}], ` + rest, `route "q" is added; it takes requests to h/r/q from route "r"`},
		"service changed": {`{"routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "idempotent", "max_attempts": 2, "traffic_split": [{"service": "a", "weight": 1}, {"service": "b", "weight": 3}]}], ` + rest, `requests of route "r" go to "a" (25%), "b" (75%) instead of "a"`},
		"kind changed":    {`{"routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "route_kind": "non_idempotent", "max_attempts": 2, "service": "a"}], ` + rest, `requests of route "r" run at most once; before, they may run again after a failure`},
		"key removed":     {`{"routes": [` + route + `], "services": [{"name": "a"}], "tenants": [{"name": "x", "rate_per_s": 9, "burst": 3}]}`, `1 keys of client account "x" are removed; requests with them get status 401`},
		"limit changed":   {`{"routes": [` + route + `], "services": [{"name": "a"}], "tenants": [{"name": "x", "api_keys": ["k"]}]}`, `client account "x" gets no limit instead of 9 requests per second and a burst of 3`},
		"account removed": {`{"routes": [` + route + `], "services": [{"name": "a"}], "tenants": []}`, `client account "x" is removed; requests with its keys get status 401`},
		"keys not needed": {`{"routes": [` + route + `], "services": [{"name": "a"}]}`, `requests need no key any more, and are not limited`},
		"nothing":         {base, ""},
	} {
		t.Run(name, func(t *testing.T) {
			inForce, err := platform.DecodeConfig([]byte(base))
			qt.Assert(t, err, qt.IsNil)
			next, err := platform.DecodeConfig([]byte(test.next))
			qt.Assert(t, err, qt.IsNil)
			effects := configcheck.Compare(inForce, next)
			if test.want == "" {
				qt.Assert(t, effects, qt.HasLen, 0)
				return
			}
			qt.Assert(t, effects, qt.Any(qt.Equals), test.want)
			qt.Assert(t, configcheck.CheckVersion(inForce, next), qt.HasLen, 1)
		})
	}
}
