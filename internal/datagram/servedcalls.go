package datagram

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// responseTTL is how long a response is kept for retransmissions of its call: many times callInterval.
	responseTTL = time.Second
	// sweepThreshold is the number of stored calls at which a new call removes the expired ones.
	sweepThreshold = 64
)

type servedKey struct {
	from netip.AddrPort
	call uint64
}

type servedCall struct {
	response   *envelope
	finishedAt time.Time
}

// servedCalls holds the calls that are running or were recently completed, so that a retransmitted call does not
// run again.
type servedCalls struct {
	mu    sync.Mutex
	calls map[servedKey]*servedCall
}

func newServedCalls() *servedCalls {
	return &servedCalls{calls: map[servedKey]*servedCall{}}
}

// begin records a call. It reports whether the call had been received before, and returns its response if it has
// completed.
func (s *servedCalls) begin(key servedKey, now time.Time) (response *envelope, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.calls[key]; known != nil {
		return known.response, true
	}
	if len(s.calls) >= sweepThreshold {
		for k, c := range s.calls {
			if c.response != nil && now.Sub(c.finishedAt) > responseTTL {
				delete(s.calls, k)
			}
		}
	}
	s.calls[key] = &servedCall{}
	return nil, false
}

func (s *servedCalls) end(key servedKey, response envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key] = &servedCall{response: &response, finishedAt: time.Now()}
}
