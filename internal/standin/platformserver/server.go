// Package platformserver is a stand-in of the platform's store, which speaks its protocol, and of the VM list
// and the weight store. It serves them from memory and with faults on command.
package platformserver

import (
	"encoding/json"
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
	store "github.com/rosemarydyke/rosemarydyke/platform"
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
	rows := store.NewStoreHandler(s.memory)
	s.mux.Handle("/", s.with(SubjectTable, rows.ServeHTTP))
	s.mux.Handle(store.PrefixBlobPut, s.with(SubjectObjects, rows.ServeHTTP))
	s.mux.Handle(store.PrefixBlobGet, s.with(SubjectObjects, rows.ServeHTTP))
	s.mux.Handle(store.PrefixBlobDelete, s.with(SubjectObjects, rows.ServeHTTP))
	s.mux.Handle("GET "+wire.PathVMs, s.with(SubjectVMs, s.vms))
	s.mux.Handle("GET "+wire.PrefixWeights, s.with(SubjectWeights, s.weight))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Memory returns the state behind the server.
func (s *Server) Memory() *memory.Platform { return s.memory }

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

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
