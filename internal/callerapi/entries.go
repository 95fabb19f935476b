package callerapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

type entriesResponse struct {
	Entries    []entryAddress `json:"entries"`
	TTLSeconds int            `json:"ttl_seconds"`
}

type entryAddress struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// handleEntries lists the entries that callers may use until the TTL in the response expires. It requires no API key.
func (s *Server) handleEntries(w http.ResponseWriter, _ *http.Request) {
	response := entriesResponse{Entries: []entryAddress{}, TTLSeconds: int(s.config.EntriesTTL / time.Second)}
	self := s.config.Members.Self().VM
	for _, m := range s.config.Members.Members() {
		if m.State != member.Alive || m.VM == self && s.gate.isLeaving() {
			continue
		}
		response.Entries = append(response.Entries, entryAddress{Address: m.Callers, AvailabilityZone: m.AvailabilityZone})
	}
	writeJSON(w, response)
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelObject(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "rosemarydyke"}
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request, snapshot *settings.Snapshot) {
	list := modelList{Object: "list", Data: []modelObject{}}
	for name := range snapshot.Models {
		list.Data = append(list.Data, newModelObject(name))
	}
	slices.SortFunc(list.Data, func(a, b modelObject) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	writeJSON(w, list)
}

func (s *Server) handleModel(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) {
	name := r.PathValue("model")
	if _, ok := snapshot.Models[name]; !ok {
		writeError(w, notRun(verdict.CodeModelNotFound, "there is no model "+name), true)
		return
	}
	writeJSON(w, newModelObject(name))
}

func (s *Server) handleBatch(w http.ResponseWriter, r *http.Request, _ *settings.Snapshot) {
	if s.config.Batch == nil {
		handleNotFound(w, r)
		return
	}
	// An upload takes as long as its size needs.
	clientconn.Of(r.Context()).LimitBody(time.Time{})
	w.Header().Set(headerRequestID, s.newRequestID())
	release, err := s.gate.enter()
	if err != nil {
		writeError(w, err, true)
		return
	}
	defer release()
	if isNewBatchWork(r) && !s.config.Settings.Fresh() {
		writeError(w, staleSettings(), true)
		return
	}
	s.config.Batch.ServeHTTP(w, r)
}

// isNewBatchWork reports whether a request uploads a file or submits a job. Only these require fresh settings;
// cancelling and reading do not.
func isNewBatchWork(r *http.Request) bool {
	return r.Method == http.MethodPost && (r.URL.Path == "/v1/files" || r.URL.Path == "/v1/batches")
}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, notRun(verdict.CodeNotFound, "there is nothing at "+r.Method+" "+r.URL.Path), true)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
