package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestKeyedRequestOfFailedVMIsNotRerun(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	var executions atomic.Int64
	f := newFleet(t, 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			// Load polls of the engine's owner are not executions.
			http.NotFound(w, r)
			return
		}
		_, _ = io.ReadAll(r.Body)
		if executions.Add(1) == 1 {
			close(arrived)
		}
		<-release
	}))
	t.Cleanup(func() { close(release) })
	header := http.Header{"Idempotency-Key": {"k"}}
	go post(http.DefaultClient, f.url(0), "/services/booking/rooms", "book", header)
	<-arrived
	got := post(http.DefaultClient, f.url(1), "/services/booking/rooms", "book", header)
	c.Assert(got.status, qt.Equals, 409, qt.Commentf("%+v", got))
	c.Assert(f.entries[0].server.Close(), qt.IsNil)
	f.await("entry 1 knows that the VM has failed", func() bool {
		got = post(http.DefaultClient, f.url(1), "/services/booking/rooms", "book", header)
		return got.status != 409
	})
	c.Assert(got.verdict, qt.Equals, "may-have-run", qt.Commentf("%+v", got))
	c.Assert(strings.Contains(got.body, "not run again"), qt.IsTrue)
	c.Assert(post(http.DefaultClient, f.url(2), "/services/booking/rooms", "book", header).verdict, qt.Equals, "may-have-run")
	c.Assert(executions.Load(), qt.Equals, int64(1))
}
