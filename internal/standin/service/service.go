// Package service emulates a plain HTTP service. It accepts any method and path, counts how often each call
// ran, and applies injected faults.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/execution"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/host"
)

// Kind selects the response of a service.
type Kind string

// Kinds of services.
const (
	// Echo responds with the call itself.
	Echo Kind = "echo"
	// Booking makes another booking on each call other than GET and HEAD. It does not deduplicate repeated calls.
	Booking Kind = "booking"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20
	// freezePollInterval is the time between checks whether a freeze fault has ended.
	freezePollInterval = 10 * time.Millisecond
	// defaultAddress makes the kernel pick a free port.
	defaultAddress = "127.0.0.1:0"
	// defaultRestartAfter is how long a crashed service refuses connections.
	defaultRestartAfter = 2 * time.Second
)

// Config configures a Service.
type Config struct {
	// Name is the subject of the service's faults.
	Name string `yaml:"name" validate:"required"`
	// Address is the TCP address (IP:port) to listen on. Default 127.0.0.1:0.
	Address string `yaml:"address"`
	// AvailabilityZone is where the platform's VM list places the service.
	AvailabilityZone string `yaml:"availability_zone"`
	// Kind is echo or booking. Default echo.
	Kind Kind `yaml:"kind" validate:"omitempty,oneof=echo booking"`
	// Duration is how long each call takes. Default 0.
	Duration time.Duration `yaml:"duration" validate:"min=0"`
	// RestartAfter is how long a crashed service refuses connections. Default 2s.
	RestartAfter time.Duration `yaml:"restart_after" validate:"min=0"`
	// Faults holds the active faults. Default: none.
	Faults *fault.Set `yaml:"-"`
}

// Call is the response of an echo service.
type Call struct {
	Service string      `json:"service"`
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Header  http.Header `json:"header"`
	Body    string      `json:"body,omitempty"`
}

// Reservation is the response of a booking service.
type Reservation struct {
	// Number is the number of bookings made so far.
	Number int64 `json:"number"`
	// Executions is how often the call with this key has run, including this time.
	Executions int    `json:"executions"`
	Key        string `json:"key"`
}

// Service is a running stand-in service.
type Service struct {
	cfg        Config
	host       *host.Host
	executions execution.Log
	bookings   atomic.Int64
}

// Start starts a service, which runs until ctx ends or Stop is called.
func Start(ctx context.Context, cfg Config) (*Service, error) {
	if cfg.Address == "" {
		cfg.Address = defaultAddress
	}
	if cfg.Kind == "" {
		cfg.Kind = Echo
	}
	if cfg.RestartAfter == 0 {
		cfg.RestartAfter = defaultRestartAfter
	}
	if cfg.Faults == nil {
		cfg.Faults = &fault.Set{}
	}
	s := &Service{cfg: cfg}
	mux := http.NewServeMux()
	mux.Handle("GET /executions", &s.executions)
	mux.HandleFunc("/", s.serve)
	h, err := host.Start(ctx, cfg.Address, mux)
	if err != nil {
		return nil, err
	}
	s.host = h
	return s, nil
}

// Address returns the service's address (IP:port).
func (s *Service) Address() string { return s.host.Address() }

// URL returns the service's base URL.
func (s *Service) URL() string { return s.host.URL() }

// Executions returns the log of calls that the service ran.
func (s *Service) Executions() *execution.Log { return &s.executions }

// Faults returns the set of active faults.
func (s *Service) Faults() *fault.Set { return s.cfg.Faults }

// Crash closes all connections and refuses new ones for restartAfter; zero means the configured time.
func (s *Service) Crash(restartAfter time.Duration) {
	if restartAfter == 0 {
		restartAfter = s.cfg.RestartAfter
	}
	s.host.Crash(restartAfter)
}

// Stop closes all connections and the listener.
func (s *Service) Stop() { s.host.Stop() }

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.takeFault(fault.Refuse); ok {
		http.Error(w, "the service takes no calls now", http.StatusServiceUnavailable)
		return
	}
	if _, ok := s.takeFault(fault.Cut); ok {
		panic(http.ErrAbortHandler)
	}
	if !s.waitWhileFrozen(r) {
		return
	}
	keys := execution.Keys(r.Header, body)
	completed := s.executions.Start(keys...)
	// A call that has started runs to its end even if its caller disconnects.
	time.Sleep(s.duration())
	response := s.run(r, body, keys[0])
	completed()
	if _, ok := s.takeFault(fault.LoseReplies); ok {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, response)
}

func (s *Service) run(r *http.Request, body []byte, key string) any {
	if s.cfg.Kind == Echo {
		return Call{Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: string(body)}
	}
	number := s.bookings.Load()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		number = s.bookings.Add(1)
	}
	return Reservation{Number: number, Executions: s.executions.Count(key).Started, Key: key}
}

func (s *Service) writeResponse(w http.ResponseWriter, response any) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, ok := s.takeFault(fault.Truncate); ok {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Service) takeFault(kind fault.Kind) (fault.Fault, bool) {
	return s.cfg.Faults.Take(s.cfg.Name, kind)
}

func (s *Service) duration() time.Duration {
	f, _ := s.takeFault(fault.Slow)
	return s.cfg.Duration + f.Delay()
}

// waitWhileFrozen blocks while a freeze fault is active. It returns false if the caller disconnects first.
func (s *Service) waitWhileFrozen(r *http.Request) bool {
	for {
		if _, frozen := s.cfg.Faults.Has(s.cfg.Name, fault.Freeze); !frozen {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(freezePollInterval):
		}
	}
}
