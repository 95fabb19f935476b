package ingress

import (
	"sync"
	"time"
)

// returnedShare is the share of the longest patience on a route below which a client is taken to have
// come back after a refusal: it has waited for a part of its time already.
const returnedShare = 0.98

// returnDetector recognizes clients that come back after a refusal. A second attempt has an ID of its own,
// but less time left than the first attempts on its route.
type returnDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// observe reports whether a request with this patience is a second attempt.
func (d *returnDetector) observe(route string, patience time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if patience >= d.longest[route] {
		d.longest[route] = patience
		return false
	}
	return float64(patience) < returnedShare*float64(d.longest[route])
}
