package completion_test

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	living := func(id string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { platform.WriteHealth(w, id) }
	}
	for name, test := range map[string]struct {
		framed bool
		// respond responds to health checks. Without it, the kernel accepts connections that no process accepts.
		respond func(http.ResponseWriter)
		// closes is when the listener is closed, negative for never.
		closes   time.Duration
		dial     error
		noCheck  bool
		complete bool
		ofPath   bool
	}{
		"a target that lives":                       {respond: living("i-0"), closes: -1, complete: true},
		"a target that lives and refuses the check": {respond: platform.WriteNotRun, closes: -1, complete: true},
		"a target that fails its own check": {respond: func(w http.ResponseWriter) {
			platform.WriteHealth(w, "i-0")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, closes: -1, complete: true},
		"a target that is gone":                                       {closes: 0},
		"a target whose listener is closed a moment later":            {closes: 2 * time.Millisecond},
		"a target whose process ends after its connections":           {closes: 100 * time.Millisecond},
		"a target that is suspended, or whose listener another holds": {closes: -1},
		"a target that was replaced by another process":               {respond: living("i-1"), closes: -1},
		"another process that refuses the check":                      {respond: func(w http.ResponseWriter) { platform.WriteReplaced(w, "i-1") }, closes: -1},
		"an intermediary that responds for it":                        {respond: func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }, closes: -1},
		"a target that can't be reached, which says nothing":          {closes: -1, dial: pathBroken, ofPath: true},
		"a target that is gone after a response with a length":        {framed: true, closes: 0, complete: true},
		"a target that accepts connections and has no check":          {closes: -1, noCheck: true, complete: true},
		"a target whose listener is closed later, and has no check":   {closes: 2 * time.Millisecond, noCheck: true},
		"a target that can't be reached, and has no check":            {closes: -1, noCheck: true, dial: pathBroken, ofPath: true},
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
			if test.respond != nil {
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					qt.Check(t, r.URL.Path, qt.Equals, streamtarget.HealthPath)
					qt.Check(t, platform.ParseTargetCall(r.Header).Instance, qt.Equals, "i-0")
					test.respond(w)
				})}
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
			}
			dial := platform.DialFunc(platform.DialTarget)
			if test.dial != nil {
				dial = func(context.Context, string) (net.Conn, error) { return nil, test.dial }
			}
			client := platform.NewTargetClient(&streamtarget.Observer{}, dial)
			sender := completion.Sender{Address: listener.Addr().String(), Instance: "i-0", HealthPath: streamtarget.HealthPath}
			if test.noCheck {
				sender.HealthPath = ""
			}
			err = completion.Confirm(t.Context(), client, sender, &platform.TargetResponse{EndsWithConnection: !test.framed})
			if test.complete {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var failure *platform.TargetError
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, failure.NotRun(), qt.IsFalse)
			qt.Check(t, failure.OfVM(), qt.Equals, test.ofPath)
		})
	}
}
