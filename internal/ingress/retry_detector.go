package ingress

import (
	"sync"
	"time"
)

// retryPatienceShare is the share of the longest patience on a route below which a request is considered a retry: its
// client has already spent a part of its time on a refused attempt.
const retryPatienceShare = 0.98

// retryDetector recognizes requests that clients retry after a refusal. A second attempt has an ID of its own,
// but less time left than the first attempts on its route.
type retryDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// observe reports whether a request with this patience is a second attempt.
func (d *retryDetector) observe(route string, patience time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if patience >= d.longest[route] {
		d.longest[route] = patience
		return false
	}
	return float64(patience) < retryPatienceShare*float64(d.longest[route])
}
