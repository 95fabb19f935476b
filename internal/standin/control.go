package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/execution"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
)

// maxControlBytes is the maximum size of a request body.
const maxControlBytes = 1 << 20

// controlRoutes returns the handler of the control interface:
//
//	POST   /faults             injects a fault.Fault; a crash takes effect at once
//	DELETE /faults?subject=S   clears the faults of a subject, or all faults without a subject
//	GET    /vms                returns the platform's VM list, without lag
//	PUT    /vms                replaces the platform's VM list
//	GET    /executions?key=K   returns the execution count of a key over all targets
func (s *Set) controlRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.serveInject)
	mux.HandleFunc("DELETE /faults", s.serveClear)
	mux.HandleFunc("GET /vms", s.serveVMs)
	mux.HandleFunc("PUT /vms", s.serveSetVMs)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	return mux
}

// Inject activates a fault. It returns an error if the fault is invalid or its subject is unknown.
func (s *Set) Inject(f fault.Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	if !s.isFaultSubject(f.Subject) {
		return fmt.Errorf("fault: unknown subject %q", f.Subject)
	}
	if f.Kind == fault.Crash {
		return s.crash(f)
	}
	s.Faults.Inject(f)
	return nil
}

func (s *Set) isFaultSubject(name string) bool {
	platformSubjects := []string{platformserver.SubjectTable, platformserver.SubjectObjects, platformserver.SubjectVMs, platformserver.SubjectWeights}
	return slices.Contains(platformSubjects, name) || slices.Contains(s.targetNames, name)
}

// crash crashes the target. targetNames lists the engines first, then the services.
func (s *Set) crash(f fault.Fault) error {
	i := slices.Index(s.targetNames, f.Subject)
	switch {
	case i < 0:
		return fmt.Errorf("fault: %q is no target and cannot crash", f.Subject)
	case i < len(s.Engines):
		s.Engines[i].Crash(f.Duration())
	default:
		s.Services[i-len(s.Engines)].Crash(f.Duration())
	}
	return nil
}

func (s *Set) serveInject(w http.ResponseWriter, r *http.Request) {
	var f fault.Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Inject(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

func (s *Set) serveClear(w http.ResponseWriter, r *http.Request) {
	s.Faults.Clear(r.URL.Query().Get("subject"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Set) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.Memory.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, vms)
}

func (s *Set) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Memory.SetVMs(vms)
	writeJSON(w, vms)
}

func (s *Set) serveExecutions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.Executions(r.URL.Query().Get("key")))
}

// Executions returns how often requests with a key ran, summed over all targets. The key "" counts all requests.
func (s *Set) Executions(key string) execution.Count {
	var sum execution.Count
	for _, log := range s.executionLogs() {
		c := log.Count(key)
		sum.Started += c.Started
		sum.Completed += c.Completed
	}
	return sum
}

func (s *Set) executionLogs() []*execution.Log {
	var logs []*execution.Log
	for _, e := range s.Engines {
		logs = append(logs, e.Executions())
	}
	for _, v := range s.Services {
		logs = append(logs, v.Executions())
	}
	return logs
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
