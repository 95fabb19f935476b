// Package execution counts how often a stand-in target ran each request, for test oracles.
package execution

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Count is how often requests with one key ran.
type Count struct {
	// Started counts the requests that the target started to run.
	Started int `json:"started"`
	// Completed counts the requests that ran to the end, whether or not the response arrived.
	Completed int `json:"completed"`
}

// Log counts executions by key. The zero value is empty. It is safe for concurrent use and is kept across
// emulated crashes of the target.
type Log struct {
	mu     sync.Mutex
	total  Count
	counts map[string]*Count
}

// Keys returns the keys under which a request is counted: its Idempotency-Key, its X-Request-Id,
// and "body:" with the hexadecimal xxHash64 of its body.
func Keys(header http.Header, body []byte) []string {
	var keys []string
	for _, name := range []string{"Idempotency-Key", "X-Request-Id"} {
		if value := header.Get(name); value != "" {
			keys = append(keys, value)
		}
	}
	return append(keys, BodyKey(body))
}

// BodyKey returns the key under which requests with this body are counted.
func BodyKey(body []byte) string { return fmt.Sprintf("body:%016x", xxhash.Sum64(body)) }

// Start counts a request under its keys and returns a function that counts its completion.
func (l *Log) Start(keys ...string) (completed func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.Started++
	for _, key := range keys {
		l.entry(key).Started++
	}
	return func() { l.complete(keys) }
}

func (l *Log) complete(keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.Completed++
	for _, key := range keys {
		l.entry(key).Completed++
	}
}

// Count returns the count of a key; the key "" counts all requests.
func (l *Log) Count(key string) Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key == "" {
		return l.total
	}
	if c, ok := l.counts[key]; ok {
		return *c
	}
	return Count{}
}

// All returns a copy of the counts of all keys.
func (l *Log) All() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]Count, len(l.counts))
	for key, c := range l.counts {
		all[key] = *c
	}
	return all
}

// ServeHTTP responds to GET /executions?key=KEY with the Count of the key.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Count(r.URL.Query().Get("key")))
}

func (l *Log) entry(key string) *Count {
	if l.counts == nil {
		l.counts = map[string]*Count{}
	}
	c, ok := l.counts[key]
	if !ok {
		c = &Count{}
		l.counts[key] = c
	}
	return c
}
