// Package platformserver serves the platform's table, object store, VM list and weight store over HTTP,
// from memory and with faults on command.
package platformserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/wire"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

// Subjects of faults.
const (
	SubjectTable   = "table"
	SubjectObjects = "objects"
	SubjectVMs     = "vms"
	SubjectWeights = "weights"
)

// maxBodyBytes bounds one request.
const maxBodyBytes = 512 << 20

// Config configures a Server.
type Config struct {
	// Memory holds the state. Default: a new, empty platform.
	Memory *memory.Platform
	// Faults are the faults in force. Default: none.
	Faults *fault.Set
	// VMListLag is how late the VM list shows a change. Default 0.
	VMListLag time.Duration
	// Weights are the models in the weight store, with their sizes in bytes.
	Weights map[string]int64
	// WeightRequests is the rate limit of the weight store in requests per second. Default 1.
	WeightRequests float64
}

// Server is an http.Handler for all services of the platform.
type Server struct {
	memory  *memory.Platform
	faults  *fault.Set
	list    *laggingList
	weights map[string]int64
	limiter *rate.Limiter
	mux     *http.ServeMux
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{memory: cfg.Memory, faults: cfg.Faults, weights: cfg.Weights, mux: http.NewServeMux()}
	if s.memory == nil {
		s.memory = memory.New()
	}
	if s.faults == nil {
		s.faults = &fault.Set{}
	}
	if cfg.WeightRequests <= 0 {
		cfg.WeightRequests = 1
	}
	s.limiter = rate.NewLimiter(rate.Limit(cfg.WeightRequests), 1)
	s.list = &laggingList{source: s.memory, faults: s.faults, lag: cfg.VMListLag}
	s.mux.Handle("POST "+wire.PathTableGet, s.with(SubjectTable, s.tableGet))
	s.mux.Handle("POST "+wire.PathTableScan, s.with(SubjectTable, s.tableScan))
	s.mux.Handle("POST "+wire.PathTableCommit, s.with(SubjectTable, s.tableCommit))
	s.mux.Handle(wire.PrefixObjects, s.with(SubjectObjects, s.object))
	s.mux.Handle("GET "+wire.PathVMs, s.with(SubjectVMs, s.vms))
	s.mux.Handle("GET "+wire.PrefixWeights, s.with(SubjectWeights, s.weight))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Memory returns the state behind the server.
func (s *Server) Memory() *memory.Platform { return s.memory }

func (s *Server) tableGet(w http.ResponseWriter, r *http.Request) {
	var request wire.GetRequest
	if !readJSON(w, r, &request) {
		return
	}
	rows, err := s.memory.Get(detached(r), request.Keys...)
	answer(w, wire.RowsResponse{Rows: rows}, err)
}

func (s *Server) tableScan(w http.ResponseWriter, r *http.Request) {
	var request wire.ScanRequest
	if !readJSON(w, r, &request) {
		return
	}
	rows, err := s.memory.Scan(detached(r), request.Prefix, request.After, request.Limit)
	answer(w, wire.RowsResponse{Rows: rows}, err)
}

func (s *Server) tableCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	version, err := s.memory.Commit(detached(r), txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		writeJSON(w, http.StatusConflict, wire.RowsResponse{Rows: conflict.Rows})
		return
	}
	answer(w, wire.CommitResponse{Version: version}, err)
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, wire.PrefixObjects)
	switch r.Method {
	case http.MethodPut:
		s.putObject(w, r, name)
	case http.MethodGet, http.MethodHead:
		s.getObject(w, r, name)
	case http.MethodDelete:
		answer(w, struct{}{}, s.memory.Objects().Delete(detached(r), name))
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, name string) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, struct{}{}, s.memory.Objects().Put(detached(r), name, content))
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, name string) {
	body, err := s.memory.Objects().Get(detached(r), name, 0, -1)
	if err != nil {
		answer(w, nil, err)
		return
	}
	content, err := io.ReadAll(body)
	if err != nil {
		answer(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

func (s *Server) vms(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wire.VMsResponse{VMs: s.list.List(time.Now())})
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	model := strings.TrimPrefix(r.URL.Path, wire.PrefixWeights)
	size, ok := s.weights[model]
	if !ok {
		http.Error(w, "no weights of that model", http.StatusNotFound)
		return
	}
	reservation := s.limiter.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, http.StatusOK, platform.Weight{Model: model, Bytes: size})
}

// detached returns a context that outlives the client's connection: a service that has read a request
// carries it out whether or not the client still waits.
func detached(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, message any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, message)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrExists):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
