// Package fault defines the faults that can be injected into stand-ins.
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
	// Down makes a platform service respond with status 503 before processing the request.
	Down Kind = "down"
	// Cut closes the connection before the request is processed.
	Cut Kind = "cut"
	// Slow delays processing by Delay. A platform service processes the request even if the client has disconnected
	// by then.
	Slow Kind = "slow"
	// LoseReplies processes a write, then closes the connection without a response.
	LoseReplies Kind = "lose_replies"
	// Crash closes all connections of a target, which refuses new ones for Duration, then restarts with empty state.
	Crash Kind = "crash"
	// Freeze accepts requests and makes no progress.
	Freeze Kind = "freeze"
	// Truncate cuts a streamed response after Tokens tokens, or a JSON body after half of its bytes.
	Truncate Kind = "truncate"
	// Refuse makes a target respond with status 503 without running the request.
	Refuse Kind = "refuse"
	// Lag makes the VM list return its state as of Delay ago.
	Lag Kind = "lag"
)

var kinds = []Kind{Down, Cut, Slow, LoseReplies, Crash, Freeze, Truncate, Refuse, Lag}

// Fault is one fault of one subject.
type Fault struct {
	// Subject is table, objects, vms, weights, or the name of a target.
	Subject string `json:"subject"`
	Kind    Kind   `json:"kind"`
	// DurationMS is the time in milliseconds after which the fault ends. Zero means until cleared.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// Count is the number of affected requests after which the fault ends. Zero means no limit.
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

// Validate returns an error if a field is missing or out of range.
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
	fault     Fault
	expiresAt time.Time
	remaining int
}

// Set is a set of active faults. The zero value is empty. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	active []*active
}

// Inject activates f and replaces an earlier fault of the same subject and kind.
func (s *Set) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(f.Subject, f.Kind)
	a := &active{fault: f, remaining: f.Count}
	if f.DurationMS > 0 {
		a.expiresAt = time.Now().Add(f.Duration())
	}
	s.active = append(s.active, a)
}

// Clear removes the faults of a subject; "" means all subjects.
func (s *Set) Clear(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(a *active) bool {
		return subject == "" || a.fault.Subject == subject
	})
}

// Take returns the active fault of this kind that applies to a request to subject, if any, and counts the request
// against the fault's Count.
func (s *Set) Take(subject string, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.find(subject, kind)
	if a == nil {
		return Fault{}, false
	}
	if a.fault.Count > 0 {
		a.remaining--
		if a.remaining <= 0 {
			s.remove(subject, kind)
		}
	}
	return a.fault, true
}

// Has returns the active fault of this kind of a subject, if any, without counting a request.
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
		expired := !a.expiresAt.IsZero() && now.After(a.expiresAt)
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
