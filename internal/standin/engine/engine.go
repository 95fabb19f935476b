// Package engine emulates a model engine: continuous batching with limited slots and a FIFO queue, a prefix
// cache, deterministic text, cancel and resume, lagging load reports, delayed cache events with gaps, orders with
// fencing tokens, and injected faults.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/execution"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/host"
)

// Config configures an Engine.
type Config struct {
	// Name is the subject of the engine's faults.
	Name string `yaml:"name" validate:"required"`
	// Address is the TCP address (IP:port) to listen on. Default 127.0.0.1:0.
	Address string `yaml:"address"`
	// AvailabilityZone is where the platform's VM list places the engine.
	AvailabilityZone string `yaml:"availability_zone"`
	// Model is the model that the engine serves. Default "stand-in".
	Model string `yaml:"model"`
	// Speed configures the engine's step durations, slots and cache size.
	Speed batching.Config `yaml:"speed"`
	// MeanTokens is the mean length of a completion in tokens. Default 32.
	MeanTokens int `yaml:"mean_tokens" validate:"min=0"`
	// MaxTokens is the token limit of a completion whose request sets none. Default 256.
	MaxTokens int `yaml:"max_tokens" validate:"min=0"`
	// LoadLag is the minimum age of load reports. Default 0.
	LoadLag time.Duration `yaml:"load_lag" validate:"min=0"`
	// CacheEventLag is the delay after which cache events are returned. Default 0.
	CacheEventLag time.Duration `yaml:"cache_event_lag" validate:"min=0"`
	// CacheEventGap drops every event whose sequence number is a multiple of it. Zero drops none.
	CacheEventGap uint64 `yaml:"cache_event_gap"`
	// ChecksFencing makes the engine reject an order with a stale fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
	// OrderDuration is how long an order takes. Default 0.
	OrderDuration time.Duration `yaml:"order_duration" validate:"min=0"`
	// CrashPrompt is a text that crashes the engine when a prompt that contains it runs. Empty disables it.
	CrashPrompt string `yaml:"crash_prompt"`
	// RestartAfter is how long a crashed engine refuses connections. Default 2s.
	RestartAfter time.Duration `yaml:"restart_after" validate:"min=0"`
	// Faults holds the active faults. Default: none.
	Faults *fault.Set `yaml:"-"`
}

// Defaults of Config.
const (
	defaultAddress      = "127.0.0.1:0"
	defaultModel        = "stand-in"
	defaultMeanTokens   = 32
	defaultMaxTokens    = 256
	defaultRestartAfter = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Address == "" {
		c.Address = defaultAddress
	}
	if c.Model == "" {
		c.Model = defaultModel
	}
	if c.MeanTokens == 0 {
		c.MeanTokens = defaultMeanTokens
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.RestartAfter == 0 {
		c.RestartAfter = defaultRestartAfter
	}
	if c.Faults == nil {
		c.Faults = &fault.Set{}
	}
	return c
}

// Engine is a running stand-in engine.
type Engine struct {
	cfg        Config
	host       *host.Host
	executions execution.Log
	wake       chan struct{}
	stop       context.CancelFunc
	stopped    chan struct{}

	mu          sync.Mutex
	core        *batching.Core
	jobs        map[*batching.Sequence]*job
	crashes     int
	loadSamples []loadSample
	events      []cacheEvent
	lastSeq     uint64
	orders      orderState
}

// Start starts an engine, which runs until ctx ends or Stop is called.
func Start(ctx context.Context, cfg Config) (*Engine, error) {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(ctx)
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1), stop: stop, stopped: make(chan struct{})}
	e.reset()
	h, err := host.Start(ctx, cfg.Address, e.routes())
	if err != nil {
		stop()
		return nil, err
	}
	e.host = h
	go e.loop(ctx)
	return e, nil
}

// Address returns the engine's address (IP:port).
func (e *Engine) Address() string { return e.host.Address() }

// URL returns the engine's base URL.
func (e *Engine) URL() string { return e.host.URL() }

// Executions returns the log of requests that the engine ran.
func (e *Engine) Executions() *execution.Log { return &e.executions }

// Faults returns the set of active faults.
func (e *Engine) Faults() *fault.Set { return e.cfg.Faults }

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Stop closes all connections and waits until the engine has stopped.
func (e *Engine) Stop() {
	e.stop()
	e.host.Stop()
	<-e.stopped
}

// Crash closes all connections and discards the engine's state. The engine refuses connections for restartAfter;
// zero means the configured time.
func (e *Engine) Crash(restartAfter time.Duration) {
	if restartAfter == 0 {
		restartAfter = e.cfg.RestartAfter
	}
	e.mu.Lock()
	e.crashes++
	e.mu.Unlock()
	e.host.Crash(restartAfter)
	e.reset()
}

// reset sets the engine's state to that after a start.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core = batching.NewCore(e.cfg.Speed)
	e.jobs = map[*batching.Sequence]*job{}
	e.loadSamples = nil
	e.events = nil
	e.orders = orderState{Model: e.cfg.Model}
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/completions", e.serveText)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveOrders)
	mux.Handle("GET /executions", &e.executions)
	return mux
}
