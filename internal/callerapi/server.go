// Package callerapi is the callers' HTTP interface: OpenAI's completions, plain services, and the
// question which entries to use.
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
	// VM is the name of this VM, the first part of request ids.
	VM string
	// Settings gives the settings revision in force.
	Settings settings.Source
	// Members gives the entries that callers may use.
	Members member.View
	// Admission hands out slots on targets.
	Admission admission.Admitter
	// Engine sends requests to targets.
	Engine *engine.Client
	// Idempotency records requests that may run at most once.
	Idempotency *idempotency.Ledger
	// Requests keeps the accounts of requests.
	Requests *requestlog.Log
	// Evidence tells other entries of requests that were cut off. Nil tells nobody.
	Evidence Publisher
	// Batch serves /v1/files and /v1/batches. Nil answers them with 404.
	Batch http.Handler
	// Log is the process's log.
	Log zerolog.Logger

	// MaxBodyBytes bounds the body of an online request. Default 4 MiB.
	MaxBodyBytes int64
	// MaxInProgress bounds the requests in progress. Default 2000.
	MaxInProgress int
	// MaxBytesInProgress bounds the bodies of requests in progress, together. Default 64 MiB.
	MaxBytesInProgress int64
	// EntriesTTL is how long callers may keep the answer to /v1/entries. Default 5s.
	EntriesTTL time.Duration
	// MaxTries bounds the targets that one request is sent to. Default 3.
	MaxTries int
	// FirstTokenTimeout bounds the wait of one try for the first token of a stream. Default 10s.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the time that a try for an answer that is not streamed has for each token, in
	// addition to FirstTokenTimeout. Default 250ms.
	TokenTimeout time.Duration
	// AnswerTimeout bounds the wait of one try for an answer that is not streamed. Default 10m.
	AnswerTimeout time.Duration
}

// Defaults of Config.
const (
	defaultMaxBodyBytes      = 4 << 20
	defaultMaxInProgress     = 2000
	defaultBytesInProgress   = 64 << 20
	defaultEntriesTTL        = 5 * time.Second
	defaultMaxTries          = 3
	defaultFirstTokenTimeout = 10 * time.Second
	defaultTokenTimeout      = 250 * time.Millisecond
	defaultAnswerTimeout     = 10 * time.Minute
	// defaultDeadline bounds the wait for the first token when neither caller nor client settings name one.
	defaultDeadline = 30 * time.Second
	// defaultServiceTimeout bounds one call of a plain service whose settings name no timeout.
	defaultServiceTimeout = 30 * time.Second
	// defaultMaxTokens is the largest completion of a model whose settings name none.
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
		c.MaxBytesInProgress = defaultBytesInProgress
	}
	if c.TokenTimeout == 0 {
		c.TokenTimeout = defaultTokenTimeout
	}
	if c.EntriesTTL == 0 {
		c.EntriesTTL = defaultEntriesTTL
	}
	if c.MaxTries == 0 {
		c.MaxTries = defaultMaxTries
	}
	if c.FirstTokenTimeout == 0 {
		c.FirstTokenTimeout = defaultFirstTokenTimeout
	}
	if c.AnswerTimeout == 0 {
		c.AnswerTimeout = defaultAnswerTimeout
	}
}

// Server serves callers.
type Server struct {
	config  Config
	mux     *http.ServeMux
	clients clientIndex
	gate    gate
	bodies  *semaphore.Weighted
	tracer  trace.Tracer
	metrics *serverMetrics
}

// New returns a server.
func New(config Config) *Server {
	config.setDefaults()
	s := &Server{
		config:  config,
		mux:     http.NewServeMux(),
		tracer:  otel.Tracer("rosemarydyke/callerapi"),
		metrics: newServerMetrics(),
		bodies:  semaphore.NewWeighted(config.MaxBytesInProgress),
	}
	s.gate.limit = config.MaxInProgress
	metrics.GetOrCreateGauge("rosemarydyke_requests_in_progress", s.gate.inProgress)
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /v1/entries", s.handleEntries)
	s.mux.Handle("GET /v1/models", s.authenticated(s.handleModels))
	s.mux.Handle("GET /v1/models/{model}", s.authenticated(s.handleModel))
	s.mux.Handle("POST /v1/chat/completions", s.authenticated(s.handleCompletion))
	s.mux.Handle("POST /v1/completions", s.authenticated(s.handleCompletion))
	s.mux.Handle("/services/{service}/{path...}", s.authenticated(s.handleService))
	s.mux.Handle("/v1/files", s.authenticated(s.handleBatch))
	s.mux.Handle("/v1/files/", s.authenticated(s.handleBatch))
	s.mux.Handle("/v1/batches", s.authenticated(s.handleBatch))
	s.mux.Handle("/v1/batches/", s.authenticated(s.handleBatch))
	s.mux.HandleFunc("/", handleUnknown)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.isLeaving() {
		// Callers that hold a connection must come to ask for another entry.
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}
