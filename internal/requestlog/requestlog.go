// Package requestlog keeps accounts of the requests that an entry served lately.
package requestlog

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// Config configures a Log.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Capacity is the number of requests that are remembered. Default 4096.
	Capacity int
	// MaxEvents is the number of events kept for one request. Default 32.
	MaxEvents int
}

const (
	defaultCapacity  = 4096
	defaultMaxEvents = 32
)

// Log remembers the newest requests and forgets older ones.
type Log struct {
	config Config

	mu      sync.Mutex
	byID    map[string]*Record
	ring    []string
	nextIdx int
}

// New returns an empty log.
func New(config Config) *Log {
	if config.Capacity == 0 {
		config.Capacity = defaultCapacity
	}
	if config.MaxEvents == 0 {
		config.MaxEvents = defaultMaxEvents
	}
	return &Log{config: config, byID: map[string]*Record{}, ring: make([]string, config.Capacity)}
}

// Begin starts the account of request id.
func (l *Log) Begin(id, summary string) *Record {
	record := &Record{log: l, account: explain.Explanation{Found: true, Subject: "request " + id, Summary: summary}}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, l.ring[l.nextIdx])
	l.ring[l.nextIdx] = id
	l.byID[id] = record
	l.nextIdx = (l.nextIdx + 1) % len(l.ring)
	return record
}

// Explain returns the account of request id.
func (l *Log) Explain(id string) explain.Explanation {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, ok := l.byID[id]
	if !ok {
		return explain.Explanation{Subject: "request " + id, Summary: "This VM does not remember the request."}
	}
	account := record.account
	account.Events = append([]explain.Event(nil), account.Events...)
	return account
}

// Register answers questions of other processes.
func (l *Log) Register(registrar peer.Registrar) {
	registrar.HandleCall(explain.MethodRequest, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var question explain.RequestQuery
		if err := decode(&question); err != nil {
			return nil, err
		}
		return l.Explain(question.ID), nil
	})
}

// Record is the account of one request. It is safe for concurrent use.
type Record struct {
	log     *Log
	account explain.Explanation
}

// Event adds a step to the account.
func (r *Record) Event(text string) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.add(text)
}

// Summarize adds a step and makes it the summary.
func (r *Record) Summarize(text string) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.add(text)
	r.account.Summary = text
}

func (r *Record) add(text string) {
	if len(r.account.Events) >= r.log.config.MaxEvents {
		return
	}
	r.account.Events = append(r.account.Events, explain.Event{At: time.Now(), VM: r.log.config.VM, Text: text})
}
