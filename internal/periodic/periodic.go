// Package periodic calls functions at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Every calls work at each interval, first after one interval, until ctx ends. Ticks are dropped when work takes longer than interval.
func Every(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work(now)
		}
	}
}
