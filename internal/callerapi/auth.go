package callerapi

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"github.com/rosemarydyke/rosemarydyke/internal/clientctx"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// clientIndex looks up clients by the SHA-256 digest of their API keys. It is rebuilt when the settings snapshot changes.
type clientIndex struct {
	mu       sync.Mutex
	snapshot *settings.Snapshot
	byDigest map[string]*settings.Client
}

func (i *clientIndex) find(snapshot *settings.Snapshot, digest string) (*settings.Client, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.snapshot != snapshot {
		i.byDigest = indexClients(snapshot)
		i.snapshot = snapshot
	}
	client, ok := i.byDigest[digest]
	return client, ok
}

func indexClients(snapshot *settings.Snapshot) map[string]*settings.Client {
	index := map[string]*settings.Client{}
	for _, client := range snapshot.Clients {
		for _, digest := range client.KeySHA256 {
			index[strings.ToLower(digest)] = client
		}
	}
	return index
}

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
	digest := sha256.Sum256([]byte(strings.TrimSpace(key)))
	client, ok := s.clients.find(snapshot, hex.EncodeToString(digest[:]))
	if !ok && !s.config.Settings.Fresh() {
		// The key may belong to a client added in a newer settings revision that another entry already has.
		return nil, staleSettings()
	}
	if !ok {
		return nil, notRun(verdict.CodeUnauthorized, "the API key is not known")
	}
	return client, nil
}
