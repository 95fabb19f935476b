package platformserver

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	store "github.com/rosemarydyke/rosemarydyke/platform"
)

// freezePollInterval is the time between checks whether a freeze fault has ended.
const freezePollInterval = 10 * time.Millisecond

// withFaults returns next wrapped so that the active faults of a subject apply to each request.
func (s *Server) withFaults(subject string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.faults.Take(subject, fault.Down); ok {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.faults.Take(subject, fault.Cut); ok {
			panic(http.ErrAbortHandler)
		}
		if !bufferBody(w, r) {
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
				next(&discardWriter{header: http.Header{}}, r)
				panic(http.ErrAbortHandler)
			}
		}
		next(w, r)
	})
}

// bufferBody reads the whole body in advance, so that a delayed request takes effect even if its client has
// disconnected by then.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// waitWhileFrozen blocks while a freeze fault of the subject is active. It returns false if the client disconnects
// first.
func (s *Server) waitWhileFrozen(subject string, r *http.Request) bool {
	for {
		if _, frozen := s.faults.Has(subject, fault.Freeze); !frozen {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(freezePollInterval):
		}
	}
}

func isWrite(r *http.Request) bool {
	return r.URL.Path == store.PathRowsApply || r.Method == http.MethodPut || r.Method == http.MethodDelete
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
