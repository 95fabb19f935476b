// Package platformserver emulates the platform's services over HTTP: the store, the VM list and the weight store.
// It serves them from memory and applies injected faults.
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

// Fault subjects.
const (
	SubjectTable   = "table"
	SubjectObjects = "objects"
	SubjectVMs     = "vms"
	SubjectWeights = "weights"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 512 << 20

// Config configures a Server.
type Config struct {
	// Memory holds the state. Default: a new, empty platform.
	Memory *memory.Platform
	// Faults holds the active faults. Default: none.
	Faults *fault.Set
	// VMListLag is the delay after which a change shows in the VM list. Default 0.
	VMListLag time.Duration
	// Weights maps the models in the weight store to their sizes in bytes.
	Weights map[string]int64
	// WeightRequests is the rate limit of the weight store in requests per second. Default 1.
	WeightRequests float64
}

// Server is an http.Handler for all services of the platform.
type Server struct {
	memory  *memory.Platform
	faults  *fault.Set
	vmList  *laggingList
	weights map[string]int64
	limiter *rate.Limiter
	mux     *http.ServeMux
}

// New returns a Server for cfg.
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
	s.vmList = &laggingList{source: s.memory, faults: s.faults, lag: cfg.VMListLag}
	storeHandler := store.NewStoreHandler(s.memory)
	s.mux.Handle("/", s.withFaults(SubjectTable, storeHandler.ServeHTTP))
	s.mux.Handle(store.PrefixBlobPut, s.withFaults(SubjectObjects, storeHandler.ServeHTTP))
	s.mux.Handle(store.PrefixBlobGet, s.withFaults(SubjectObjects, storeHandler.ServeHTTP))
	s.mux.Handle(store.PrefixBlobDelete, s.withFaults(SubjectObjects, storeHandler.ServeHTTP))
	s.mux.Handle("GET "+wire.PathVMs, s.withFaults(SubjectVMs, s.serveVMs))
	s.mux.Handle("GET "+wire.PrefixWeights, s.withFaults(SubjectWeights, s.serveWeights))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Memory returns the state behind the server.
func (s *Server) Memory() *memory.Platform { return s.memory }

func (s *Server) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wire.VMsResponse{VMs: s.vmList.List(time.Now())})
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
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
