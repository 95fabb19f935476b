package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/drain"
)

// request is what a client sends to a process that is shutting down.
type request struct {
	arrival time.Duration
	// limit is the timeout, and takes how long the request takes if it is not cut off.
	limit, takes time.Duration
}

// cut returns the number of admitted requests that outlast the process.
func cut(p drain.Plan, requests []request, admits func(request) bool) int {
	n := 0
	for _, r := range requests {
		if admits(r) && p.Started.Add(r.arrival+r.takes).After(p.ExitBy) {
			n++
		}
	}
	return n
}

// Guards against requests that are admitted late in the grace period and cut off at its end.
func TestNoAdmittedRequestOutlastsTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		p := drain.New(time.Unix(1000, 0), grace, time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "cached")))
		between := func(name string, low, high time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, name))
		}
		r := request{arrival: between("arrival", 0, grace), limit: between("limit", 0, time.Minute)}
		r.takes = between("takes", 0, r.limit)
		if n := cut(p, []request{r}, func(r request) bool { return p.Admits(p.Started.Add(r.arrival), r.limit) }); n > 0 {
			t.Fatalf("%+v is admitted and cut off by %+v", r, p)
		}
		if p.AnswerBy.After(p.ExitBy) || p.ListenUntil.After(p.ExitBy) || p.ExitBy.After(p.Started.Add(grace)) {
			t.Fatalf("times are out of order: %+v", p)
		}
		// Requests are excused from the users' rule if they are cut in the last sixth of the grace period.
		if p.AnswerBy.Sub(p.Started) < grace*5/6 {
			t.Fatalf("requests end %s after the start of a grace period of %s", p.AnswerBy.Sub(p.Started), grace)
		}
	})
}

// A process that admits whatever arrives while it listens cuts requests off.
func TestAdmittingWhileListeningCutsRequestsOff(t *testing.T) {
	p := drain.New(time.Unix(1000, 0), 8*time.Second, 4500*time.Millisecond)
	late := []request{{3200 * time.Millisecond, 5 * time.Second, 4600 * time.Millisecond}, {time.Second, 5 * time.Second, 4600 * time.Millisecond}}
	listening := func(r request) bool { return !p.Started.Add(r.arrival).After(p.ListenUntil) }
	qt.Assert(t, cut(p, late, listening), qt.Equals, 1)
	qt.Assert(t, cut(p, late, func(r request) bool { return p.Admits(p.Started.Add(r.arrival), r.limit) }), qt.Equals, 0)
}
