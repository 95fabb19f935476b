// Package periodic calls functions at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Every calls work at each interval, first after one interval, until ctx ends. At most one tick stays pending while work
// runs, and further ticks are dropped.
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
