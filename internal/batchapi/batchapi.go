// Package batchapi implements the files and batches endpoints of the callers' API, compatible with OpenAI's.
// The handler expects an authenticated client in the request's context, see package clientctx.
package batchapi

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarydyke/rosemarydyke/internal/clientctx"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Config configures the handler.
type Config struct {
	// Table and Objects store the jobs.
	Table   platform.Table
	Objects platform.Objects
	// Settings provides the models that batch lines may name.
	Settings settings.Source
	// MaxFileBytes is the largest upload, in bytes. Default job.MaxInputBytes.
	MaxFileBytes int64
	// PlatformTimeout bounds each platform operation of a request. Default 5s.
	PlatformTimeout time.Duration
	// OnCancel is called with the ID of each cancelled job, to notify runners before they next poll the table. Optional.
	OnCancel func(ctx context.Context, id string)
	// Log receives server-side errors.
	Log zerolog.Logger
}

const defaultPlatformTimeout = 5 * time.Second

// maxValidations bounds the inputs that are validated concurrently, since each takes tens of megabytes of memory.
const maxValidations = 2

type api struct {
	config      Config
	store       *jobstore.Store
	validations *semaphore.Weighted
}

// New returns the handler of /v1/files and /v1/batches.
func New(config Config) http.Handler {
	if config.MaxFileBytes == 0 {
		config.MaxFileBytes = job.MaxInputBytes
	}
	if config.PlatformTimeout == 0 {
		config.PlatformTimeout = defaultPlatformTimeout
	}
	if config.OnCancel == nil {
		config.OnCancel = func(context.Context, string) {}
	}
	a := &api{
		config:      config,
		store:       jobstore.New(config.Table, config.Objects).WithTimeout(config.PlatformTimeout),
		validations: semaphore.NewWeighted(maxValidations),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", a.withClient(a.createFile))
	mux.HandleFunc("GET /v1/files/{id}", a.withClient(a.getFile))
	mux.HandleFunc("GET /v1/files/{id}/content", a.withClient(a.getContent))
	mux.HandleFunc("POST /v1/batches", a.withClient(a.createBatch))
	mux.HandleFunc("GET /v1/batches", a.withClient(a.listBatches))
	mux.HandleFunc("GET /v1/batches/{id}", a.withClient(a.getBatch))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", a.withClient(a.cancelBatch))
	return mux
}

type clientHandler func(w http.ResponseWriter, r *http.Request, client *settings.Client) error

func (a *api) withClient(handle clientHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		client, ok := clientctx.From(r.Context())
		if !ok {
			a.writeError(w, r, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeUnauthorized, Message: "no API key was given"})
			return
		}
		if err := handle(w, r, client); err != nil {
			a.writeError(w, r, err)
		}
	}
}
