package platformserver

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	store "github.com/rosemarydyke/rosemarydyke/platform"
)

// freezePoll is how often a frozen request looks whether the fault has ended.
const freezePoll = 10 * time.Millisecond

// with puts the faults of a subject before a handler.
func (s *Server) with(subject string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.faults.Take(subject, fault.Down); ok {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.faults.Take(subject, fault.Cut); ok {
			panic(http.ErrAbortHandler)
		}
		if !buffer(w, r) {
			return
		}
		if f, ok := s.faults.Take(subject, fault.Slow); ok {
			time.Sleep(f.Delay())
		}
		if !s.waitWhileFrozen(subject, r) {
			return
		}
		if isWrite(r) {
			if _, ok := s.faults.Take(subject, fault.LoseReplies); ok {
				next(&discard{header: http.Header{}}, r)
				panic(http.ErrAbortHandler)
			}
		}
		next(w, r)
	})
}

// buffer reads the whole request, so that a delayed request takes effect although its client has gone.
func buffer(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// waitWhileFrozen returns false when the client gives up before the fault ends.
func (s *Server) waitWhileFrozen(subject string, r *http.Request) bool {
	for {
		if _, frozen := s.faults.Has(subject, fault.Freeze); !frozen {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(freezePoll):
		}
	}
}

func isWrite(r *http.Request) bool {
	return r.URL.Path == store.PathRowsApply || r.Method == http.MethodPut || r.Method == http.MethodDelete
}

// discard is a ResponseWriter that keeps nothing.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
