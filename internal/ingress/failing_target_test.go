package ingress_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
)

// Guards against a target that fails all requests at once and attracts more of them, because it has the most free slots.
// Its failures are forwarded to the clients, since the requests may not run again.
func TestTargetThatFailsRequestsThatMayNotRunAgainIsEjected(t *testing.T) {
	f := start(t, 2)
	for range 20 {
		f.targets[0].Inject(streamtarget.Fail)
	}
	failed := 0
	for range 10 {
		if response, _ := f.send(t, "/once/"); response.status != http.StatusOK {
			failed++
		}
	}
	qt.Assert(t, failed <= 2, qt.IsTrue, qt.Commentf("%d of 10 requests failed", failed))
}

// Guards against a target that runs requests and never answers, when all of them may run only once: there is no other target to
// turn to, but the silence has to count against the target.
func TestTargetThatIsSilentForRequestsThatMayNotRunAgainIsEjected(t *testing.T) {
	f := startPausing(t, 4, time.Second, pause, "v1", "v1")
	for range 20 {
		f.targets[0].Inject(streamtarget.Hang)
	}
	failed := 0
	for range 6 {
		if response, _ := f.send(t, "/once/"); response.status != http.StatusOK {
			failed++
		}
	}
	qt.Assert(t, failed <= 3, qt.IsTrue, qt.Commentf("%d of 6 requests failed", failed))
}
