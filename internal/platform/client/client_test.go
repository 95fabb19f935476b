package client_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
)

// shortTimeout limits calls to a service that does not respond.
const shortTimeout = 100 * time.Millisecond

func startServer(t *testing.T, timeout time.Duration) (*client.Client, *fault.Set, *memory.Platform) {
	faults := &fault.Set{}
	state := memory.New()
	server := httptest.NewServer(platformserver.New(platformserver.Config{Memory: state, Faults: faults, Weights: map[string]int64{"m": 7}}))
	t.Cleanup(server.Close)
	c := client.New(server.URL, timeout)
	t.Cleanup(c.Close)
	return c, faults, state
}

func putTxn(key string, version uint64) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte("v")}},
	}
}

func TestTableCommitsUnderConditions(t *testing.T) {
	c, _, _ := startServer(t, time.Minute)
	table := c.Table()
	version, err := table.Commit(t.Context(), putTxn("a/1", 0))
	qt.Assert(t, err, qt.IsNil)
	rows, err := table.Get(t.Context(), "a/1", "a/2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.DeepEquals, []platform.Row{{Key: "a/1", Value: []byte("v"), Version: version}, {Key: "a/2"}})
	_, err = table.Commit(t.Context(), putTxn("a/1", 0))
	var conflict *platform.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Rows[0].Version, qt.Equals, version)
	_, err = table.Commit(t.Context(), putTxn("a/2", 0))
	qt.Assert(t, err, qt.IsNil)
	rows, err = table.Scan(t.Context(), "a/", "a/1", 5)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 1)
}

func TestCommitErrorsTellWhetherTheWriteMayBeApplied(t *testing.T) {
	tests := []struct {
		name    string
		fault   fault.Fault
		want    error
		applied bool
	}{
		{"a rejected commit was not applied", fault.Fault{Kind: fault.Down}, platform.ErrUnavailable, false},
		{"the outcome is unknown after a closed connection", fault.Fault{Kind: fault.Cut}, platform.ErrOutcomeUnknown, false},
		{"the outcome is unknown after a lost response", fault.Fault{Kind: fault.LoseReplies}, platform.ErrOutcomeUnknown, true},
		{"the outcome is unknown after a timeout", fault.Fault{Kind: fault.Freeze}, platform.ErrOutcomeUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			timeout := time.Minute
			if test.fault.Kind == fault.Freeze {
				timeout = shortTimeout
			}
			c, faults, state := startServer(t, timeout)
			test.fault.Subject = platformserver.SubjectTable
			faults.Inject(test.fault)
			_, err := c.Table().Commit(t.Context(), putTxn("k", 0))
			qt.Assert(t, err, qt.ErrorIs, test.want)
			rows, _ := state.Get(t.Context(), "k")
			qt.Assert(t, rows[0].Version > 0, qt.Equals, test.applied)
		})
	}
}

func TestSlowCommitIsAppliedAfterItsClientTimedOut(t *testing.T) {
	c, faults, state := startServer(t, shortTimeout)
	faults.Inject(fault.Fault{Subject: platformserver.SubjectTable, Kind: fault.Slow, DelayMS: 3 * shortTimeout.Milliseconds()})
	_, err := c.Table().Commit(t.Context(), putTxn("k", 0))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	for {
		rows, err := state.Get(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		if rows[0].Version > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestUnreachableServiceReportsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	c := client.New("http://"+address, time.Minute)
	_, err = c.Table().Commit(t.Context(), putTxn("k", 0))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
	qt.Assert(t, errors.Is(err, platform.ErrOutcomeUnknown), qt.IsFalse)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Table().Commit(ctx, putTxn("k", 0))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"version":`)
	}))
	defer server.Close()
	c := client.New(server.URL, time.Minute)
	_, err := c.Table().Commit(t.Context(), putTxn("k", 0))
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	_, err = c.Table().Get(t.Context(), "k")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
}

func TestObjectsAreImmutableAndReadInRanges(t *testing.T) {
	c, faults, _ := startServer(t, time.Minute)
	objects := c.Objects()
	const name = "jobs/a b/0001.jsonl"
	qt.Assert(t, objects.Put(t.Context(), name, []byte("0123456789")), qt.IsNil)
	qt.Assert(t, objects.Put(t.Context(), name, []byte("0123456789")), qt.IsNil)
	qt.Assert(t, objects.Put(t.Context(), name, []byte("other")), qt.ErrorIs, platform.ErrExists)
	size, err := objects.Size(t.Context(), name)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, size, qt.Equals, int64(10))
	ranges := []struct {
		offset, length int64
		want           string
	}{{0, -1, "0123456789"}, {3, 4, "3456"}, {8, 9, "89"}, {4, -1, "456789"}, {20, 5, ""}, {2, 0, ""}}
	for _, r := range ranges {
		body, err := objects.Get(t.Context(), name, r.offset, r.length)
		qt.Assert(t, err, qt.IsNil)
		content, err := io.ReadAll(body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(content), qt.Equals, r.want)
	}
	_, err = objects.Get(t.Context(), "absent", 0, -1)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrNotFound)
	faults.Inject(fault.Fault{Subject: platformserver.SubjectObjects, Kind: fault.LoseReplies, Count: 1})
	qt.Assert(t, objects.Put(t.Context(), "lost", []byte("x")), qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, objects.Put(t.Context(), "lost", []byte("x")), qt.IsNil)
	qt.Assert(t, objects.Delete(t.Context(), "lost"), qt.IsNil)
	_, err = objects.Size(t.Context(), "lost")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrNotFound)
}

func TestWeightStoreReportsRetryAfter(t *testing.T) {
	c, _, _ := startServer(t, time.Minute)
	weight, err := c.Weights().Describe(t.Context(), "m")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, weight, qt.Equals, platform.Weight{Model: "m", Bytes: 7})
	for weight.RetryAfter == 0 {
		weight, err = c.Weights().Describe(t.Context(), "m")
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = c.Weights().Describe(t.Context(), "absent")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrNotFound)
}
