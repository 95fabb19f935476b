package ingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRetryDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	type observation struct {
		after, patience time.Duration
		retry           bool
	}
	for name, observations := range map[string][]observation{
		"less patience than the first attempts is a retry": {{0, 5 * time.Second, false}, {0, 4 * time.Second, true}, {0, 4950 * time.Millisecond, false}},
		"a client that states no patience does not retry":  {{0, 5 * time.Second, false}, {0, 0, false}},
		"one patient client is forgotten":                  {{0, time.Hour, false}, {30 * time.Second, 5 * time.Second, true}, {3 * time.Minute, 5 * time.Second, false}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newRetryDetector()
			for i, o := range observations {
				qt.Assert(t, d.observe(start.Add(o.after), "route", o.patience), qt.Equals, o.retry, qt.Commentf("observation %d", i))
			}
		})
	}
}
