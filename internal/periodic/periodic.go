// Package periodic repeats work at an interval.
package periodic

import (
	"context"
	"time"
)

// Every calls work each interval, for the first time after one, until ctx ends. Ticks that come while work runs are dropped.
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
