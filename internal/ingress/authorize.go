package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// outdatedRetryAfter is the retry delay for clients of a VM whose configuration is too old to accept keys. Another VM may accept
// them immediately, and this one with the next answer of the store.
const outdatedRetryAfter = 500 * time.Millisecond

// notAccepted counts the requests that were not accepted, by reason.
var notAccepted = map[account.Reason]*metrics.Counter{}

func init() {
	for _, reason := range []account.Reason{account.MissingKey, account.InvalidCredentials, account.UnknownKey, account.OutdatedConfiguration} {
		notAccepted[reason] = metrics.NewCounter(fmt.Sprintf(`rosemarydyke_requests_not_accepted_total{reason=%q}`, reason))
	}
}

// errNotAccepted ends a request whose key is not valid any more, or cannot be verified any more.
var errNotAccepted = errors.New("the API key of the request is not accepted any more")

// authorization is what the configuration says about a request at one moment.
type authorization struct {
	// hasAccounts means that the configuration has client accounts.
	hasAccounts bool
	// account is the account of a valid key, or nil.
	account *account.Account
	// reason is empty if the request is accepted.
	reason       account.Reason
	confirmation account.Confirmation
	version      uint64
}

// authorize decides by the configuration in force, and its age, whether a request may be sent to a target.
func (s *Server) authorize(r *http.Request, public bool) authorization {
	confirmation := s.config.Configuration.Confirmation()
	// The table is read after the confirmation, so that it is at least as recent.
	table := s.config.Configuration.Current()
	a := authorization{hasAccounts: table.Accounts != nil, confirmation: confirmation, version: table.Version}
	if !a.hasAccounts {
		return a
	}
	a.account, a.reason = s.config.Revocation.Authorize(table.Accounts, confirmation, platform.Credentials(r.Header))
	if public {
		a.reason = ""
	}
	return a
}

// authenticate returns the request with its account in the context, or ends a request that is not accepted.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, public bool) (*http.Request, bool) {
	a := s.authorize(r, public)
	if a.reason != "" {
		s.writeNotAccepted(w, a)
		s.config.Log.Info().Str("request", platform.RequestID(r.Header)).Str("client", r.RemoteAddr).Str("host", r.Host).Str("path", r.URL.Path).
			Str("reason", string(a.reason)).Uint64("config_version", a.version).Dur("config_age_ms", a.confirmation.Age).
			Bool("config_confirmed", a.confirmation.Known).Str("status", strconv.Itoa(a.status())).Msg("request not accepted")
		return nil, false
	}
	if a.account != nil {
		r = r.WithContext(account.NewContext(r.Context(), a.account))
	}
	return r, true
}

// authenticateJobCall is authenticate for calls about jobs, which name no route. They need no key where the host has a public
// batch route.
func (s *Server) authenticateJobCall(w http.ResponseWriter, r *http.Request, table *routing.Table) (*http.Request, bool) {
	return s.authenticate(w, r, table.HasPublicBatch(r.Host) && !platform.Credentials(r.Header).Present)
}

func (a authorization) status() int {
	if a.reason == account.OutdatedConfiguration {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnauthorized
}

// writeNotAccepted responds to a request that has not run.
func (s *Server) writeNotAccepted(w http.ResponseWriter, a authorization) {
	notAccepted[a.reason].Inc()
	if a.reason == account.OutdatedConfiguration {
		refusedTotal.Inc()
		platform.WriteRefusal(w, http.StatusServiceUnavailable, outdatedRetryAfter, "the configuration is too old to accept API keys")
		return
	}
	platform.WriteUnauthorized(w, "a valid API key is required")
}

// authorizeSend decides whether the request may be sent to a target now.
func (e *exchange) authorizeSend() authorization {
	a := e.server.authorize(e.request, e.route.Public)
	e.send = a
	return a
}

// targetAccount returns what a target is told of the account of the request. A configuration that dropped all accounts while the
// request waited does not make the key known to targets.
func (e *exchange) targetAccount() (hasAccounts bool, name string) {
	if !e.hasAccounts && !e.send.hasAccounts {
		return false, ""
	}
	if e.send.account == nil {
		return true, ""
	}
	return true, e.send.account.Name
}

// endNotAccepted responds to a request that may not be sent to a target any more.
func (e *exchange) endNotAccepted(ctx context.Context, a authorization) {
	err := fmt.Errorf("%w: %s (version %d, age %s)", errNotAccepted, a.reason, a.version, a.confirmation.Age)
	if e.mayHaveRun || e.started {
		notAccepted[a.reason].Inc()
		e.fail(ctx, err)
		return
	}
	e.server.writeNotAccepted(e.writer, a)
	e.log("not_accepted", err, strconv.Itoa(a.status()))
}
