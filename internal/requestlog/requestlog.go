// Package requestlog records the events of the requests that an entry served most recently, for explanations to
// operators.
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
	// VM is the name of this VM, recorded with each event.
	VM string
	// Capacity is the number of requests that are kept. Default 4096.
	Capacity int
	// MaxEvents is the maximum number of events kept per request; later ones are discarded. Default 32.
	MaxEvents int
}

const (
	defaultCapacity  = 4096
	defaultMaxEvents = 32
)

// Log keeps the records of the newest Capacity requests. It is safe for concurrent use.
type Log struct {
	config Config

	mu   sync.Mutex
	byID map[string]*Record
	ring []string
	next int
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

// Begin adds a record for request id, and evicts the oldest one if the log is full.
func (l *Log) Begin(id, summary string) *Record {
	record := &Record{log: l, explanation: explain.Explanation{Found: true, Subject: "request " + id, Summary: summary}}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, l.ring[l.next])
	l.ring[l.next] = id
	l.byID[id] = record
	l.next = (l.next + 1) % len(l.ring)
	return record
}

// Explain returns the explanation of request id. Found is not set if there is no record.
func (l *Log) Explain(id string) explain.Explanation {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, ok := l.byID[id]
	if !ok {
		return explain.Explanation{Subject: "request " + id, Summary: "This VM does not remember the request."}
	}
	explanation := record.explanation
	explanation.Events = append([]explain.Event(nil), explanation.Events...)
	return explanation
}

// Register registers the RPC handler through which other processes call Explain.
func (l *Log) Register(registrar peer.Registrar) {
	registrar.HandleCall(explain.MethodRequest, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var request explain.RequestQuery
		if err := decode(&request); err != nil {
			return nil, err
		}
		return l.Explain(request.ID), nil
	})
}

// Record is the record of one request. It is safe for concurrent use.
type Record struct {
	log         *Log
	explanation explain.Explanation
}

// Event adds an event.
func (r *Record) Event(text string) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.add(text)
}

// Summarize adds an event and makes its text the summary.
func (r *Record) Summarize(text string) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.add(text)
	r.explanation.Summary = text
}

func (r *Record) add(text string) {
	if len(r.explanation.Events) >= r.log.config.MaxEvents {
		return
	}
	r.explanation.Events = append(r.explanation.Events, explain.Event{At: time.Now(), VM: r.log.config.VM, Text: text})
}
