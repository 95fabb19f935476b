package callerapi_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

const bookingPath = "/services/booking/rooms"

func idempotencyKey(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }

// newEntryPair starts two entries that share one target and one table.
func newEntryPair(t *testing.T, target http.Handler) (*faulty.Table, [2]*fixture) {
	table := faulty.New(memory.New())
	return table, [2]*fixture{
		newFixture(t, "vm-1", table, nil, target),
		newFixture(t, "vm-2", table, nil, target),
	}
}

// sendUntilSettled resends a request until the response is no longer request_in_progress.
func sendUntilSettled(t *testing.T, f *fixture, body string, header http.Header) callerResponse {
	for range 500 {
		if got := f.send(t, "POST", bookingPath, body, header); got.code() != "request_in_progress" {
			return got
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the request is still in progress after 500 attempts")
	return callerResponse{}
}

func TestKeyedRequestResentThroughAnotherEntryRunsOnce(t *testing.T) {
	tests := []struct {
		name    string
		target  http.HandlerFunc
		faults  []faulty.Fault
		verdict string
		status  int
	}{
		{"its response is replayed", respondJSON, nil, "completed", 200},
		{"a lost response to the claim is tolerated", respondJSON, []faulty.Fault{faulty.ResponseLost}, "completed", 200},
		{"a lost claim is retried", respondJSON, []faulty.Fault{faulty.RequestLost, faulty.Unavailable}, "completed", 200},
		{"a lost response to storing the outcome is tolerated", respondJSON, []faulty.Fault{faulty.None, faulty.ResponseLost}, "completed", 200},
		{"an aborted request remains may-have-run", abortConnection, nil, "may-have-run", 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newCountingTarget(test.target)
			table, entries := newEntryPair(t, target)
			table.Inject(test.faults...)
			entries[0].send(t, "POST", bookingPath, "{}", idempotencyKey("k"))
			entries[0].ledger.Wait()
			for _, entry := range entries {
				got := sendUntilSettled(t, entry, "{}", idempotencyKey("k"))
				c.Assert(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
				c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, test.verdict)
				c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "false")
			}
			c.Assert(target.count.Load(), qt.Equals, int64(1))
		})
	}
}

func TestReusedKeyWithDifferentBodyIsRejected(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondJSON)
	_, entries := newEntryPair(t, target)
	entries[0].send(t, "POST", bookingPath, "{}", idempotencyKey("k"))
	got := entries[1].send(t, "POST", bookingPath, `{"other":1}`, idempotencyKey("k"))
	c.Assert(got.status, qt.Equals, 422)
	c.Assert(got.code(), qt.Equals, "idempotency_key_reused")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestRequestInProgressOnAnotherEntryIsNotDispatched(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		respondJSON(w, r)
	})
	_, entries := newEntryPair(t, target)
	var first sync.WaitGroup
	first.Go(func() { entries[0].send(t, "POST", bookingPath, "{}", idempotencyKey("k")) })
	<-arrived
	got := entries[1].send(t, "POST", bookingPath, "{}", idempotencyKey("k"))
	c.Assert(got.status, qt.Equals, 409)
	c.Assert(got.code(), qt.Equals, "request_in_progress")
	c.Assert(got.header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "false")
	close(release)
	first.Wait()
	c.Assert(sendUntilSettled(t, entries[1], "{}", idempotencyKey("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestKeyedRequestIsNotRunWhileTableIsDown(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondJSON)
	table, entries := newEntryPair(t, target)
	table.SetDown(true)
	got := entries[0].send(t, "POST", bookingPath, "{}", idempotencyKey("k"))
	c.Assert(got.code(), qt.Equals, "platform_unavailable")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(got.header.Get("Retry-After"), qt.Matches, "[2-6]")
	c.Assert(target.count.Load(), qt.Equals, int64(0))
	table.SetDown(false)
	c.Assert(entries[1].send(t, "POST", bookingPath, "{}", idempotencyKey("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestNotRunRequestReleasesItsKey(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondJSON)
	_, entries := newEntryPair(t, target)
	targets := entries[0].admitter.targets
	entries[0].admitter.targets = nil
	got := entries[0].send(t, "POST", bookingPath, "{}", idempotencyKey("k"))
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	entries[0].admitter.targets = targets
	c.Assert(sendUntilSettled(t, entries[1], "{}", idempotencyKey("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestKeyedRequestContinuesAfterCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		respondJSON(w, r)
	})
	_, entries := newEntryPair(t, target)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, "POST", entries[0].URL+bookingPath, strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	request.Header = idempotencyKey("k")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	c.Assert(entries[0].do(request).err, qt.ErrorIs, context.Canceled)
	close(release)
	c.Assert(sendUntilSettled(t, entries[1], "{}", idempotencyKey("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestStoredStreamIsReplayedCompletely(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondStream)
	_, entries := newEntryPair(t, target)
	header := idempotencyKey("k")
	header.Set("Rosemarydyke-Idempotent", "false")
	first := entries[0].send(t, "POST", chat, streamBody, header)
	entries[0].ledger.Wait()
	second := entries[1].send(t, "POST", chat, streamBody, header)
	c.Assert(second.body, qt.Equals, first.body)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}
