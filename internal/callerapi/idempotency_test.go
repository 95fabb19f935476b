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

const booking = "/services/booking/rooms"

func keyed(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }

// pair is two entries before one target, with one table.
func pair(t *testing.T, target http.Handler) (*faulty.Table, [2]*fixture) {
	table := faulty.New(memory.New())
	return table, [2]*fixture{
		newFixture(t, "vm-1", table, nil, target),
		newFixture(t, "vm-2", table, nil, target),
	}
}

// settled sends a request until the answer is not that it is in progress.
func settled(t *testing.T, f *fixture, body string, header http.Header) answer {
	for range 500 {
		if got := f.send(t, "POST", booking, body, header); got.code() != "request_in_progress" {
			return got
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the request stays in progress")
	return answer{}
}

func TestAKeyedRequestResentThroughAnotherEntryRunsOnce(t *testing.T) {
	tests := []struct {
		name    string
		target  http.HandlerFunc
		faults  []faulty.Fault
		verdict string
		status  int
	}{
		{"its answer is given again", answerJSON, nil, "completed", 200},
		{"a lost reply to the claim changes nothing", answerJSON, []faulty.Fault{faulty.ResponseLost}, "completed", 200},
		{"a lost claim is made again", answerJSON, []faulty.Fault{faulty.RequestLost, faulty.Unavailable}, "completed", 200},
		{"a lost reply to the outcome changes nothing", answerJSON, []faulty.Fault{faulty.None, faulty.ResponseLost}, "completed", 200},
		{"a cut request may have run and stays so", cutConnection, nil, "may-have-run", 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newCounted(test.target)
			table, entries := pair(t, target)
			table.Inject(test.faults...)
			entries[0].send(t, "POST", booking, "{}", keyed("k"))
			entries[0].ledger.Wait()
			for _, entry := range entries {
				got := settled(t, entry, "{}", keyed("k"))
				c.Assert(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
				c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, test.verdict)
				c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "false")
			}
			c.Assert(target.count.Load(), qt.Equals, int64(1))
		})
	}
}

func TestAKeyWithAnotherBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	target := newCounted(answerJSON)
	_, entries := pair(t, target)
	entries[0].send(t, "POST", booking, "{}", keyed("k"))
	got := entries[1].send(t, "POST", booking, `{"other":1}`, keyed("k"))
	c.Assert(got.status, qt.Equals, 422)
	c.Assert(got.code(), qt.Equals, "idempotency_key_reused")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestARequestInProgressElsewhereIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newCounted(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		answerJSON(w, r)
	})
	_, entries := pair(t, target)
	var first sync.WaitGroup
	first.Go(func() { entries[0].send(t, "POST", booking, "{}", keyed("k")) })
	<-arrived
	got := entries[1].send(t, "POST", booking, "{}", keyed("k"))
	c.Assert(got.status, qt.Equals, 409)
	c.Assert(got.code(), qt.Equals, "request_in_progress")
	c.Assert(got.header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "false")
	close(release)
	first.Wait()
	c.Assert(settled(t, entries[1], "{}", keyed("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestWithTheTableDownAKeyedRequestIsNotRun(t *testing.T) {
	c := qt.New(t)
	target := newCounted(answerJSON)
	table, entries := pair(t, target)
	table.SetDown(true)
	got := entries[0].send(t, "POST", booking, "{}", keyed("k"))
	c.Assert(got.code(), qt.Equals, "platform_unavailable")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(got.header.Get("Retry-After"), qt.Matches, "[2-6]")
	c.Assert(target.count.Load(), qt.Equals, int64(0))
	table.SetDown(false)
	c.Assert(entries[1].send(t, "POST", booking, "{}", keyed("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestARequestThatWasNotRunFreesItsKey(t *testing.T) {
	c := qt.New(t)
	target := newCounted(answerJSON)
	_, entries := pair(t, target)
	targets := entries[0].admitter.targets
	entries[0].admitter.targets = nil
	got := entries[0].send(t, "POST", booking, "{}", keyed("k"))
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	entries[0].admitter.targets = targets
	c.Assert(settled(t, entries[1], "{}", keyed("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestAKeyedRequestOutlivesItsCaller(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newCounted(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		answerJSON(w, r)
	})
	_, entries := pair(t, target)
	ctx, hangUp := context.WithCancel(context.Background())
	go func() {
		<-arrived
		hangUp()
	}()
	request, err := http.NewRequestWithContext(ctx, "POST", entries[0].URL+booking, strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	request.Header = keyed("k")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	c.Assert(entries[0].do(request).err, qt.ErrorIs, context.Canceled)
	close(release)
	c.Assert(settled(t, entries[1], "{}", keyed("k")).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}

func TestAStreamIsGivenAgainWhole(t *testing.T) {
	c := qt.New(t)
	target := newCounted(streamWhole)
	_, entries := pair(t, target)
	header := keyed("k")
	header.Set("Rosemarydyke-Idempotent", "false")
	first := entries[0].send(t, "POST", chat, streamBody, header)
	entries[0].ledger.Wait()
	second := entries[1].send(t, "POST", chat, streamBody, header)
	c.Assert(second.body, qt.Equals, first.body)
	c.Assert(target.count.Load(), qt.Equals, int64(1))
}
