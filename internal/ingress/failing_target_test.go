package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/ingress"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/reach"
	"github.com/rosemarydyke/rosemarydyke/routing"
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

// Guards against clients who wait for their deadline although the target of their request, which may run only once, is gone.
func TestRequestOfALostTargetEndsBeforeItsDeadline(t *testing.T) {
	unreachable := errors.New("no route to host")
	for name, test := range map[string]struct {
		path    string
		fault   streamtarget.Fault
		dial    error
		isEnded bool
	}{
		"a stream, before its first event": {"/once/", streamtarget.Hang, unreachable, true},
		"a stream, midway":                 {"/once/", streamtarget.PauseMidStream, unreachable, true},
		"a call":                           {"/unsafe/", streamtarget.Hang, unreachable, true},
		"a stream whose target accepts connections":     {"/once/", streamtarget.PauseMidStream, nil, false},
		"a stream whose VM has lost its own path":       {"/once/", streamtarget.PauseMidStream, &reach.PathError{Cause: unreachable}, false},
		"a stream that may go on at a target like this": {"/resumable/", streamtarget.PauseMidStream, unreachable, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Bool
			f := &fixture{}
			f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v1", Pause: 2 * time.Second})
			f.adjust = func(c *ingress.Config, _ *routing.Table) {
				c.Targets = platform.NewTargetClient(&streamtarget.Observer{}, platform.DialFunc(func(ctx context.Context, address string) (net.Conn, error) {
					if sent.Swap(true) && test.dial != nil {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: test.dial}
					}
					return platform.DialTarget(ctx, address)
				}))
			}
			f.serve(t, 4, 4*time.Second, quarantine.Config{})
			f.inject(test.fault)
			got, id := f.send(t, test.path)
			qt.Check(t, f.runs(id), qt.Equals, 1)
			if !test.isEnded {
				qt.Check(t, got.body, qt.Equals, wholeStream(id))
				return
			}
			qt.Check(t, got.took < 2*time.Second, qt.IsTrue, qt.Commentf("ended after %s", got.took))
			qt.Check(t, got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("status %d", got.status))
			qt.Check(t, f.log.String(), qt.Contains, "can't be reached any more")
		})
	}
}

// A response that ended with its connection was taken for complete although its target was lost.
func TestResponseOfALostTargetThatMayNotRunAgainIsNotComplete(t *testing.T) {
	for path, isWhole := range map[string]bool{"/once/": false, "/unsafe/": false, "/plain/": true} {
		f := start(t, 4)
		f.targets[0].Inject(streamtarget.Die)
		got, id := f.send(t, path)
		if isWhole {
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.body, qt.Equals, wholeStream(id))
			continue
		}
		qt.Check(t, got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%s: status %d, %q", path, got.status, got.body))
		qt.Check(t, f.runs(id), qt.Equals, 1)
		qt.Check(t, f.log.String(), qt.Contains, `"ends_with_connection":true`)
	}
}

// A target that lives may end its responses with their connections. Where it can be asked, it says that nothing follows.
func TestResponseThatEndsWithTheConnectionOfALivingTargetIsComplete(t *testing.T) {
	f := &fixture{}
	f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v1", EndsWithConnection: true})
	f.serve(t, 1, timeout, quarantine.Config{})
	for path, runs := range map[string]int{"/once/": 1, "/unsafe/": 1, "/plain/": 1, "/resumable/": 2, "/thrice/": 2} {
		got, id := f.send(t, path)
		qt.Check(t, got.err, qt.IsNil)
		qt.Check(t, got.body, qt.Equals, wholeStream(id))
		qt.Check(t, f.runs(id), qt.Equals, runs)
	}
}

// A stream that a living target truncated reached its client as complete.
func TestTruncatedStreamThatEndsWithItsConnectionGoesOn(t *testing.T) {
	f := start(t, 4)
	f.targets[0].Inject(streamtarget.Truncate)
	got, id := f.send(t, "/resumable/")
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	qt.Assert(t, f.runs(id), qt.Equals, 2)
}

// Guards against streams that are broken off because a target rejects the last event.
func TestStreamIsCompleteIfATargetRejectsItsLastEvent(t *testing.T) {
	f := &fixture{}
	f.addTarget(t, streamtarget.Config{ID: "i-0", Version: "v1", EndsWithConnection: true})
	f.serve(t, 1, timeout, quarantine.Config{})
	f.targets[0].Inject(streamtarget.None, streamtarget.Reject)
	got, id := f.send(t, "/resumable/")
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.body, qt.Equals, wholeStream(id))
	qt.Check(t, f.runs(id), qt.Equals, 2)
}

// A truncated stream reached its client as complete because the target that was asked for the rest failed.
func TestFailureOfATargetThatIsAskedForTheRestDoesNotCompleteTheStream(t *testing.T) {
	for path, runs := range map[string]int{"/resumable/": 2, "/thrice/": 3} {
		f := start(t, 4)
		f.targets[0].Inject(streamtarget.Truncate, streamtarget.Fail)
		f.targets[1].Inject(streamtarget.Fail)
		got, id := f.send(t, path)
		qt.Check(t, got.err, qt.IsNotNil, qt.Commentf("%s: complete after %q", path, got.body))
		qt.Check(t, strings.HasPrefix(wholeStream(id), got.body), qt.IsTrue)
		qt.Check(t, f.runs(id), qt.Equals, runs)
	}
}

// Requests were quarantined whose targets closed their listeners or connections as they left.
func TestRequestIsNotBlamedForTargetsThatLeave(t *testing.T) {
	f := &fixture{}
	for i := range 3 {
		f.addTarget(t, streamtarget.Config{ID: fmt.Sprintf("i-%d", i), Version: "v1"})
	}
	f.adjust = func(c *ingress.Config, _ *routing.Table) {
		// The first two targets begin to leave under their first requests.
		usable := func(id string) bool { return id == "i-2" || len(f.targets[id[2]-'0'].Arrivals()) == 0 }
		c.Slots = schedulingtest.StartUsable(t, usable, service, 1, f.targets...)
	}
	f.serve(t, 1, timeout, quarantine.Config{CrashThreshold: 1})
	for i, fault := range []streamtarget.Fault{streamtarget.Die, streamtarget.CutMidEvent} {
		f.targets[i].Inject(fault)
		got, _ := f.send(t, "/once/")
		qt.Assert(t, got.err, qt.IsNotNil)
	}
	got, id := f.send(t, "/once/")
	qt.Assert(t, got.body, qt.Equals, wholeStream(id), qt.Commentf("status %d", got.status))
}
