package completion_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/completion"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/reach"
)

// Guards against the end of a lost target's connection that is taken for the end of its response.
func TestOnlyTheEndOfALivingTargetsConnectionIsThatOfItsResponse(t *testing.T) {
	pathBroken := &reach.PathError{Cause: errors.New("no route to host")}
	for name, test := range map[string]struct {
		framed bool
		// closes is when the listener is closed, negative for never.
		closes   time.Duration
		dial     error
		complete bool
		ofPath   bool
	}{
		"a target that lives":                                  {closes: -1, complete: true},
		"a target that is gone":                                {closes: 0},
		"a target whose listener is closed a moment later":     {closes: 2 * time.Millisecond},
		"a target that can't be reached, which says nothing":   {closes: -1, dial: pathBroken, ofPath: true},
		"a target that is gone after a response with a length": {framed: true, closes: 0, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			switch {
			case test.closes == 0:
				_ = listener.Close()
			case test.closes > 0:
				time.AfterFunc(test.closes, func() { _ = listener.Close() })
			}
			dial := platform.DialFunc(platform.DialTarget)
			if test.dial != nil {
				dial = func(ctx context.Context, _ string) (net.Conn, error) { return nil, test.dial }
			}
			client := platform.NewTargetClient(&streamtarget.Observer{}, dial)
			err = completion.Confirm(t.Context(), client, listener.Addr().String(), &platform.TargetResponse{EndsWithConnection: !test.framed})
			if test.complete {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var failure *platform.TargetError
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, failure.NotRun(), qt.IsFalse)
			qt.Check(t, failure.OfPath(), qt.Equals, test.ofPath)
		})
	}
}
