package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, from the page on the platform's metadata store.
const (
	storeEntries   = 100
	storeTxBytes   = 1 << 20
	storeRowBytes  = 65536
	storePageRows  = 500
	storePageBytes = 1 << 20
	storeTx        = 5 * time.Millisecond
	// An answer takes 4 ms on the average, and some more or less.
	storeAnswerMin = 2 * time.Millisecond
	storeAnswerMax = 6 * time.Millisecond
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowKey
	Value       []byte `json:"value,omitempty"`
	DataVersion uint64 `json:"data_version,omitempty"`
	Tombstone   bool   `json:"tombstone,omitempty"`
}

type condition struct {
	rowKey
	DataVersion uint64 `json:"data_version"`
}

type rowWrite struct {
	rowKey
	Value []byte `json:"value"`
}

type transaction struct {
	ExpectedRev []condition `json:"expected_rev"`
	Writes      []rowWrite  `json:"writes"`
	Remove      []rowKey    `json:"remove"`
}

type rowsAnswer struct {
	Rows        []storedRow `json:"rows"`
	HasMore     bool        `json:"has_more"`
	DataVersion uint64      `json:"data_version"`
	NowMs       int64       `json:"now_ms"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record  *record
	started time.Time
	server  *http.Server
	address string

	// tooLarge counts the transactions that were refused for their size.
	mu       sync.Mutex
	rows     map[rowKey]*storedRow
	version  uint64
	changed  chan struct{}
	tooLarge int
	down     bool
}

func newStore(r *record) (*store, error) {
	s := &store{record: r, started: time.Now(), rows: map[rowKey]*storedRow{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = &storedRow{rowKey: k, Value: value, DataVersion: s.version}
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{Table: table, Key: key}
	if s.rows[k] != nil {
		s.rows[k] = &storedRow{rowKey: k, DataVersion: s.version, Tombstone: true}
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls of the system with status 503, which means that nothing was done.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/api/rows-feed" {
		time.Sleep(storeAnswer())
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/rows-tx":
		s.apply(w, r)
	case "GET /api/rows-get":
		s.read(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	default:
		s.record.log("store", "unknown call %s %s", r.Method, r.URL.Path)
		w.WriteHeader(http.StatusNotFound)
	}
}

func storeAnswer() time.Duration { return storeAnswerMin + rand.N(storeAnswerMax-storeAnswerMin) }

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []storedRow{}
	}
	a.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) apply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(body) > storeTxBytes || len(t.ExpectedRev)+len(t.Writes)+len(t.Remove) > storeEntries {
		s.mu.Lock()
		s.tooLarge++
		first := s.tooLarge == 1
		s.mu.Unlock()
		if first {
			s.record.log("store", "transaction refused with status 413: %d bytes, %d entries", len(body), len(t.ExpectedRev)+len(t.Writes)+len(t.Remove))
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(storeTx)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []storedRow
	for _, c := range t.ExpectedRev {
		version := uint64(0)
		if row := s.rows[c.rowKey]; row != nil && !row.Tombstone {
			version = row.DataVersion
			current = append(current, *row)
		}
		conflict = conflict || version != c.DataVersion
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, DataVersion: s.version})
		return
	}
	for _, x := range t.Writes {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(x.Value) > storeRowBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.version++
	for _, x := range t.Writes {
		s.rows[x.rowKey] = &storedRow{rowKey: x.rowKey, Value: x.Value, DataVersion: s.version}
	}
	for _, k := range t.Remove {
		if s.rows[k] != nil {
			s.rows[k] = &storedRow{rowKey: k, DataVersion: s.version, Tombstone: true}
		}
	}
	s.wake()
	s.answer(w, http.StatusOK, rowsAnswer{DataVersion: s.version})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > storePageRows {
		limit = storePageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storedRow
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && !row.Tombstone && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	a := rowsAnswer{DataVersion: s.version}
	bytes := 0
	for _, row := range rows {
		size := len(row.Value)*4/3 + 300
		if len(a.Rows) > 0 && (len(a.Rows) >= limit || bytes+size > storePageBytes) {
			a.HasMore = true
			break
		}
		bytes += size
		a.Rows = append(a.Rows, row)
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for waited := false; ; {
		s.mu.Lock()
		changed := s.changed
		var rows []storedRow
		for k, row := range s.rows {
			if k.Table == q.Get("table") && row.DataVersion > after {
				rows = append(rows, *row)
			}
		}
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || waited {
			sort.Slice(rows, func(i, j int) bool {
				if rows[i].DataVersion != rows[j].DataVersion {
					return rows[i].DataVersion < rows[j].DataVersion
				}
				return rows[i].Key < rows[j].Key
			})
			version := s.version
			s.mu.Unlock()
			time.Sleep(storeAnswer())
			s.answer(w, http.StatusOK, rowsAnswer{Rows: rows, DataVersion: version})
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}
