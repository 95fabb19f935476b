// Package fault holds the faults that a stand-in shows on command.
package fault

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Down makes a platform service answer 503 before processing.
	Down Kind = "down"
	// Cut closes the connection before the request is processed.
	Cut Kind = "cut"
	// Slow delays processing by Delay. A platform service processes the request even when the client has gone by then.
	Slow Kind = "slow"
	// LoseReplies processes a write, then closes the connection without an answer.
	LoseReplies Kind = "lose_replies"
	// Crash cuts all connections of a target, which refuses new ones for Duration, then starts empty.
	Crash Kind = "crash"
	// Freeze accepts requests and makes no progress.
	Freeze Kind = "freeze"
	// Truncate cuts an answer after Tokens tokens of a stream, or half of a JSON body.
	Truncate Kind = "truncate"
	// Refuse makes a target answer 503 without running the request.
	Refuse Kind = "refuse"
	// Lag makes the VM list show the state of Delay ago.
	Lag Kind = "lag"
)

var kinds = []Kind{Down, Cut, Slow, LoseReplies, Crash, Freeze, Truncate, Refuse, Lag}

// Fault is one fault of one subject.
type Fault struct {
	// Subject is table, objects, vms, weights, or the name of a target.
	Subject string `json:"subject"`
	// Kind is what goes wrong.
	Kind Kind `json:"kind"`
	// DurationMS ends the fault after so many milliseconds. Zero means until cleared.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Count ends the fault after so many requests have met it. Zero means no limit.
	Count int `json:"count,omitempty"`
	// DelayMS is the delay of Slow and Lag, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Tokens is the number of tokens that Truncate lets through.
	Tokens int `json:"tokens,omitempty"`
}

// Delay returns the fault's delay.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Duration returns how long the fault lasts.
func (f Fault) Duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// Validate reports a fault that no stand-in can show.
func (f Fault) Validate() error {
	if f.Subject == "" {
		return fmt.Errorf("fault: subject is missing")
	}
	if !slices.Contains(kinds, f.Kind) {
		return fmt.Errorf("fault: unknown kind %q, want one of %v", f.Kind, kinds)
	}
	if f.DurationMS < 0 || f.DelayMS < 0 || f.Count < 0 || f.Tokens < 0 {
		return fmt.Errorf("fault: negative value")
	}
	return nil
}

type active struct {
	fault Fault
	until time.Time
	left  int
}

// Set is the set of faults in force. The zero value is empty. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	active []*active
}

// Inject puts f in force and replaces an earlier fault of the same subject and kind.
func (s *Set) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(f.Subject, f.Kind)
	a := &active{fault: f, left: f.Count}
	if f.DurationMS > 0 {
		a.until = time.Now().Add(f.Duration())
	}
	s.active = append(s.active, a)
}

// Clear ends the faults of a subject; "" means all subjects.
func (s *Set) Clear(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(a *active) bool {
		return subject == "" || a.fault.Subject == subject
	})
}

// Take reports whether a request to subject meets a fault of this kind, and counts it.
func (s *Set) Take(subject string, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(subject, kind)
	if a == nil {
		return Fault{}, false
	}
	if a.fault.Count > 0 {
		a.left--
		if a.left <= 0 {
			s.remove(subject, kind)
		}
	}
	return a.fault, true
}

// Has reports whether a fault is in force, without counting.
func (s *Set) Has(subject string, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(subject, kind)
	if a == nil {
		return Fault{}, false
	}
	return a.fault, true
}

func (s *Set) find(subject string, kind Kind) *active {
	now := time.Now()
	for _, a := range s.active {
		expired := !a.until.IsZero() && now.After(a.until)
		if a.fault.Subject == subject && a.fault.Kind == kind && !expired {
			return a
		}
	}
	return nil
}

func (s *Set) remove(subject string, kind Kind) {
	s.active = slices.DeleteFunc(s.active, func(a *active) bool {
		return a.fault.Subject == subject && a.fault.Kind == kind
	})
}
