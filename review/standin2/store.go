package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the platform's store.
type rowKey struct{ table, part, key string }

// storedRow is a row, or the mark of one that was removed.
type storedRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Version   uint64 `json:"data_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// change is what the store can be told to do with one transaction.
type change struct {
	// Expected, Writes and Remove are the entries of the call.
	Expected []storedRow `json:"expected_rev"`
	Writes   []storedRow `json:"writes"`
	Remove   []storedRow `json:"remove"`
}

// store is a stand-in for the platform's metadata store. It loses nothing that it has acknowledged.
type store struct {
	listener net.Listener
	server   *http.Server
	began    time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	version uint64
	changed chan struct{}
}

func newStore(address string) *store {
	listener, err := net.Listen("tcp4", address)
	must(err)
	s := &store{listener: listener, began: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a worker, and returns the version.
func (s *store) put(table, key string, value any) uint64 {
	content, err := json.Marshal(value)
	must(err)
	version, _, _ := s.apply(&change{Writes: []storedRow{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(content)}}})
	return version
}

func (s *store) apply(tx *change) (version uint64, conflicts []storedRow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Version != e.Version {
			for _, c := range tx.Expected {
				if row, known := s.rows[rowKey{c.Table, c.Part, c.Key}]; known {
					conflicts = append(conflicts, row)
				}
			}
			return s.version, conflicts, false
		}
	}
	s.version++
	for _, w := range tx.Writes {
		w.Version = s.version
		s.rows[rowKey{w.Table, w.Part, w.Key}] = w
		s.history = append(s.history, w)
	}
	for _, r := range tx.Remove {
		if _, known := s.rows[rowKey{r.Table, r.Part, r.Key}]; known {
			delete(s.rows, rowKey{r.Table, r.Part, r.Key})
			s.history = append(s.history, storedRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

const (
	// answerTime is the time that an answer takes on the site (4 ms).
	answerTime   = 4 * time.Millisecond
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var tx change
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &tx) != nil {
			http.Error(w, "bad call", http.StatusBadRequest)
			return
		}
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		time.Sleep(answerTime)
		version, conflicts, ok := s.apply(&tx)
		if !ok {
			s.answer(w, http.StatusPreconditionFailed, conflicts, version, false)
			return
		}
		s.answer(w, http.StatusOK, nil, version, false)
	case "/api/rows-get":
		s.read(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		http.Error(w, "unknown call", http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storedRow, version uint64, more bool) {
	if rows == nil {
		rows = []storedRow{}
	}
	content, err := json.Marshal(map[string]any{"rows": rows, "data_version": version, "now_ms": time.Since(s.began).Milliseconds(), "has_more": more})
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []storedRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	rows, more := page(rows, limit)
	time.Sleep(answerTime)
	s.answer(w, http.StatusOK, rows, version, more)
}

// page returns the rows that fit one answer.
func page(rows []storedRow, limit int) ([]storedRow, bool) {
	bytes := 0
	for i, row := range rows {
		if bytes += len(row.Value); i >= limit || bytes > maxPageBytes && i > 0 {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []storedRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			// Only the last change of a row counts.
			last := map[rowKey]uint64{}
			for _, row := range rows {
				last[rowKey{row.Table, row.Part, row.Key}] = row.Version
			}
			rows = slices.DeleteFunc(rows, func(row storedRow) bool { return last[rowKey{row.Table, row.Part, row.Key}] != row.Version })
			rows, more := page(rows, maxPageRows)
			if more {
				version = rows[len(rows)-1].Version
			}
			time.Sleep(answerTime)
			s.answer(w, http.StatusOK, rows, version, more)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, nil, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}
