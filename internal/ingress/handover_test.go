package ingress_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
)

const (
	// longTimeout is a timeout of routes that ends no request of these tests.
	longTimeout = 3 * time.Second
	// longPause is how long healthy targets were reported to be silent.
	longPause = time.Second
)

// startHandover starts targets with one slot each, on which longer pauses are injected.
func startHandover(t *testing.T, targets int, pause time.Duration) *fixture {
	versions := make([]string, targets)
	return startPausing(t, 1, longTimeout, pause, versions...)
}

func TestTargetThatIsSilentForASecondEndsNoRequest(t *testing.T) {
	for name, test := range map[string]struct{ silent, other streamtarget.Fault }{
		"before the first event, and the other target refuses":   {streamtarget.PauseFirst, streamtarget.Shed},
		"before the first event, and the other target is silent": {streamtarget.PauseFirst, streamtarget.PauseFirst},
		"midway, and the other target refuses":                   {streamtarget.PauseMidStream, streamtarget.Shed},
		"midway, and the other target is silent":                 {streamtarget.PauseMidStream, streamtarget.PauseFirst},
		"midway, and the other target resets":                    {streamtarget.PauseMidStream, streamtarget.CutBefore},
		"midway, and the other target fails":                     {streamtarget.PauseMidStream, streamtarget.Fail},
		"midway, and the other target skips an event":            {streamtarget.PauseMidStream, streamtarget.SkipEvent},
		"midway, and the other target answers another request":   {streamtarget.PauseMidStream, streamtarget.WrongID},
	} {
		t.Run(name, func(t *testing.T) {
			f := startHandover(t, 2, longPause)
			f.targets[0].Inject(test.silent)
			f.targets[1].Inject(test.other, test.other, test.other, test.other)
			got, id := f.send(t, "/resumable/")
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.body, qt.Equals, wholeStream(id))
		})
	}
}

// The healthy replacement was cancelled for a response of the silent target that was of no use.
func TestFailureOfTheSilentTargetLeavesTheReplacement(t *testing.T) {
	const slow = 300 * time.Millisecond
	t.Run("before the first event", func(t *testing.T) {
		f := startHandover(t, 2, slow)
		f.targets[0].Inject(streamtarget.SlowFail)
		f.targets[1].Inject(streamtarget.PauseFirst)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	})
	t.Run("of a stream that has begun", func(t *testing.T) {
		f := startHandover(t, 3, slow)
		f.targets[0].Inject(streamtarget.CutMidEvent)
		f.targets[1].Inject(streamtarget.SlowFail)
		f.targets[2].Inject(streamtarget.PauseMidStream)
		got, id := f.send(t, "/thrice/")
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	})
}

func TestStreamThatHasBegunWaitsForASlot(t *testing.T) {
	t.Run("while the targets of its version are full", func(t *testing.T) {
		f := startHandover(t, 2, 300*time.Millisecond)
		f.targets[0].Inject(streamtarget.PauseFirst)
		r, occupying := f.request(t.Context(), "/once/")
		go f.do(r)
		for f.targets[0].Runs(occupying) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.targets[1].Inject(streamtarget.CutMidEvent)
		got, id := f.send(t, "/resumable/")
		qt.Assert(t, got.err, qt.IsNil)
		qt.Assert(t, got.body, qt.Equals, wholeStream(id))
	})
	t.Run("but not for a version that is gone", func(t *testing.T) {
		f := startPausing(t, 1, longTimeout, longPause, "v1", "v2")
		f.targets[0].Inject(streamtarget.PauseMidStream)
		r, id := f.request(t.Context(), "/resumable/")
		ended := make(chan clientResponse)
		go func() { ended <- f.do(r) }()
		for f.targets[0].Runs(id) == 0 {
			time.Sleep(time.Millisecond)
		}
		// The first events arrive before the pause.
		time.Sleep(50 * time.Millisecond)
		f.slots.SetTargets(schedulingtest.Registered(service, 1, f.targets[1]))
		f.targets[0].Close()
		got := <-ended
		qt.Assert(t, got.err, qt.IsNotNil)
		qt.Assert(t, got.took < longPause, qt.IsTrue, qt.Commentf("%s", got.took))
	})
}

func TestSilentTargetGetsNoNewRequests(t *testing.T) {
	f := startPausing(t, 4, longTimeout, longPause, "v1", "v2")
	f.targets[0].Inject(streamtarget.PauseMidStream, streamtarget.PauseMidStream)
	f.targets[1].Inject(streamtarget.PauseMidStream, streamtarget.PauseMidStream)
	var clients sync.WaitGroup
	for range 4 {
		r, _ := f.request(t.Context(), "/resumable/")
		clients.Go(func() { f.do(r) })
	}
	// No target of the same version can continue the streams, and one of the two targets is ejected.
	for deadline := time.Now().Add(5 * time.Second); f.slots.Loads()[0].Usable != 1; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", f.slots.Loads()))
	}
	clients.Wait()
}

// A target that stays silent must not work on the request for long beside the one that continues it.
func TestTwoTargetsWorkOnARequestForLessThan400ms(t *testing.T) {
	f := startHandover(t, 2, longPause)
	f.inject(streamtarget.Hang)
	r, id := f.request(t.Context(), "/resumable/")
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	for f.targets[1].Runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	for f.targets[0].Cancelled() == 0 {
		if time.Since(began) > 400*time.Millisecond {
			t.Fatal("the first target still runs the request 400 ms after the second one has begun")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestLogNamesTheSilenceForWhichATargetWasLeft(t *testing.T) {
	f := start(t, 4)
	f.targets[0].Inject(streamtarget.Hang)
	got, _ := f.send(t, "/resumable/")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	qt.Assert(t, f.log.String(), qt.Contains, `"outcome":"target \"i-0\" sent nothing for 220ms`)
}
