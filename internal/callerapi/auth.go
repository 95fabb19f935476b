package callerapi

import (
	"net/http"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/clientctx"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// handler serves a request of an authenticated client under one settings revision.
type handler func(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot)

// requireClient authenticates requests by API key and passes those of known clients to next.
func (s *Server) requireClient(next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		snapshot := s.config.Settings.Current()
		client, err := s.authenticate(r, snapshot)
		if err != nil {
			writeError(w, err, true)
			return
		}
		next(w, r.WithContext(clientctx.With(r.Context(), client)), snapshot)
	})
}

func (s *Server) authenticate(r *http.Request, snapshot *settings.Snapshot) (*settings.Client, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil, notRun(verdict.CodeUnauthorized, "no API key: send it as Authorization: Bearer KEY")
	}
	client, ok := snapshot.ClientByKey(account.DigestOf(strings.TrimSpace(key)))
	if !ok && !s.config.Settings.Fresh() {
		// The key may belong to a client added in a newer settings revision that another entry already has.
		return nil, staleSettings()
	}
	if !ok {
		return nil, notRun(verdict.CodeUnauthorized, "the API key is not known")
	}
	return client, nil
}
