package datagram

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// answerKept is how long an answer is kept for repetitions of its call: many times callInterval.
	answerKept = time.Second
	// sweepServed is the number of kept calls from which old ones are looked for.
	sweepServed = 64
)

type servedKey struct {
	from netip.AddrPort
	call uint64
}

type servedCall struct {
	answer *envelope
	at     time.Time
}

// servedCalls keeps the calls that run or were answered lately, so that a repeated call does not run again.
type servedCalls struct {
	mu    sync.Mutex
	calls map[servedKey]*servedCall
}

func newServedCalls() *servedCalls {
	return &servedCalls{calls: map[servedKey]*servedCall{}}
}

// begin reports whether a call has been received before, with its answer if there is one already.
func (s *servedCalls) begin(key servedKey, now time.Time) (answer *envelope, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.calls[key]; known != nil {
		return known.answer, true
	}
	if len(s.calls) >= sweepServed {
		for k, c := range s.calls {
			if c.answer != nil && now.Sub(c.at) > answerKept {
				delete(s.calls, k)
			}
		}
	}
	s.calls[key] = &servedCall{}
	return nil, false
}

func (s *servedCalls) end(key servedKey, answer envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key] = &servedCall{answer: &answer, at: time.Now()}
}
