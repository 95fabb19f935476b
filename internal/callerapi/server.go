// Package callerapi implements the caller-facing HTTP API: OpenAI-compatible completions, calls of plain services,
// and the list of entries.
package callerapi

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/requestlog"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Config configures a Server.
type Config struct {
	// VM is the name of this VM, the first part of request IDs.
	VM string
	// Settings provides the current settings revision.
	Settings settings.Source
	// Members provides the entries listed by /v1/entries.
	Members member.View
	// Admission grants slots on targets.
	Admission admission.Admitter
	// Engine sends requests to targets.
	Engine *engine.Client
	// Idempotency records requests that may run at most once.
	Idempotency *idempotency.Ledger
	// Requests records the events of each request for explanations.
	Requests *requestlog.Log
	// Evidence publishes evidence of requests that may crash targets to the other entries. Nil publishes nothing.
	Evidence Publisher
	// Batch serves /v1/files and /v1/batches. If nil, they return 404.
	Batch http.Handler
	// Log is the process's log.
	Log zerolog.Logger

	// MaxBodyBytes bounds the body of an online request. Default 4 MiB.
	MaxBodyBytes int64
	// MaxInProgress is the maximum number of requests in progress. Default 2000.
	MaxInProgress int
	// MaxBytesInProgress bounds the total size of the bodies of requests in progress. Default 64 MiB.
	MaxBytesInProgress int64
	// EntriesTTL is how long callers may cache the response of /v1/entries. Default 5s.
	EntriesTTL time.Duration
	// MaxAttempts is the maximum number of targets that one request is sent to. Default 3.
	MaxAttempts int
	// FirstTokenTimeout bounds the wait of one attempt for the first token of a stream. Default 10s.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the time per requested token that an attempt at an unstreamed completion has in addition to
	// FirstTokenTimeout. Default 250ms.
	TokenTimeout time.Duration
	// ResponseTimeout is the upper bound of the timeout of one attempt at an unstreamed completion. Default 10m.
	ResponseTimeout time.Duration
}

// Defaults of Config.
const (
	defaultMaxBodyBytes       = 4 << 20
	defaultMaxInProgress      = 2000
	defaultMaxBytesInProgress = 64 << 20
	defaultEntriesTTL         = 5 * time.Second
	defaultMaxAttempts        = 3
	defaultFirstTokenTimeout  = 10 * time.Second
	defaultTokenTimeout       = 250 * time.Millisecond
	defaultResponseTimeout    = 10 * time.Minute
	// defaultDeadline applies when neither the caller nor the client's settings specify a deadline.
	defaultDeadline = 30 * time.Second
	// defaultServiceTimeout is the timeout of services whose settings specify none.
	defaultServiceTimeout = 30 * time.Second
	// defaultMaxTokens is the maximum completion length of models whose settings specify none.
	defaultMaxTokens = 4096
)

func (c *Config) setDefaults() {
	if c.Evidence == nil {
		c.Evidence = noPublisher{}
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.MaxInProgress == 0 {
		c.MaxInProgress = defaultMaxInProgress
	}
	if c.MaxBytesInProgress == 0 {
		c.MaxBytesInProgress = defaultMaxBytesInProgress
	}
	if c.TokenTimeout == 0 {
		c.TokenTimeout = defaultTokenTimeout
	}
	if c.EntriesTTL == 0 {
		c.EntriesTTL = defaultEntriesTTL
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.FirstTokenTimeout == 0 {
		c.FirstTokenTimeout = defaultFirstTokenTimeout
	}
	if c.ResponseTimeout == 0 {
		c.ResponseTimeout = defaultResponseTimeout
	}
}

// Server is the handler of the caller-facing API.
type Server struct {
	config    Config
	mux       *http.ServeMux
	gate      gate
	bodyBytes *semaphore.Weighted
	tracer    trace.Tracer
	metrics   *serverMetrics
}

// New returns a server.
func New(config Config) *Server {
	config.setDefaults()
	s := &Server{
		config:    config,
		mux:       http.NewServeMux(),
		tracer:    otel.Tracer("rosemarydyke/callerapi"),
		metrics:   newServerMetrics(),
		bodyBytes: semaphore.NewWeighted(config.MaxBytesInProgress),
	}
	s.gate.limit = config.MaxInProgress
	metrics.GetOrCreateGauge("rosemarydyke_requests_in_progress", s.gate.inProgress)
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /v1/entries", s.handleEntries)
	s.mux.Handle("GET /v1/models", s.requireClient(s.handleModels))
	s.mux.Handle("GET /v1/models/{model}", s.requireClient(s.handleModel))
	s.mux.Handle("POST /v1/chat/completions", s.requireClient(s.handleCompletion))
	s.mux.Handle("POST /v1/completions", s.requireClient(s.handleCompletion))
	s.mux.Handle("/services/{service}/{path...}", s.requireClient(s.handleService))
	s.mux.Handle("/v1/files", s.requireClient(s.handleBatch))
	s.mux.Handle("/v1/files/", s.requireClient(s.handleBatch))
	s.mux.Handle("/v1/batches", s.requireClient(s.handleBatch))
	s.mux.Handle("/v1/batches/", s.requireClient(s.handleBatch))
	s.mux.HandleFunc("/", handleNotFound)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.isLeaving() {
		// Closing the connection makes callers that keep it open ask for another entry.
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}
