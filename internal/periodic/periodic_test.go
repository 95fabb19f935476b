package periodic_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/periodic"
)

func TestEveryRepeatsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		began := time.Now()
		var at []time.Duration
		periodic.Every(ctx, 2*time.Second, func(now time.Time) {
			at = append(at, now.Sub(began))
			time.Sleep(500 * time.Millisecond)
		})
		qt.Assert(t, at, qt.DeepEquals, []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second})
	})
}
