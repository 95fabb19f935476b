package ingress

import (
	"sync"
	"time"
)

const (
	// retryPatienceShare is the share of the longest patience (how long a client waits) on a route below which a request is
	// considered a retry: its client has already spent a part of its time on a refused attempt.
	retryPatienceShare = 0.98
	// patiencePeriod is the time after which the longest patience of a route is measured anew, so that a single patient
	// client does not make all others look like retries. The longest one of the previous period counts as well.
	patiencePeriod = time.Minute
)

// retryDetector recognizes requests that clients retry after a refusal. A second attempt has an ID of its own,
// but less time left than the first attempts on its route.
type retryDetector struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience is the longest patience on a route in the current period and in the one before.
type patience struct {
	since             time.Time
	current, previous time.Duration
}

func newRetryDetector() *retryDetector { return &retryDetector{routes: map[string]*patience{}} }

// observe reports whether a request with this patience is a second attempt. Zero means that the client states none, which
// says nothing.
func (d *retryDetector) observe(now time.Time, route string, stated time.Duration) bool {
	if stated <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.routes[route]
	if p == nil {
		p = &patience{since: now}
		d.routes[route] = p
	}
	switch age := now.Sub(p.since); {
	case age >= 2*patiencePeriod:
		*p = patience{since: now}
	case age >= patiencePeriod:
		*p = patience{since: now, previous: p.current}
	}
	p.current = max(p.current, stated)
	return float64(stated) < retryPatienceShare*float64(max(p.current, p.previous))
}
