package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// streamEvents and eventPause make a stream that takes longer than callers cache addresses.
	streamEvents     = 30
	eventPause       = 50 * time.Millisecond
	streamingCallers = 12
)

// slowStream is a target whose stream takes longer than callers cache addresses.
func slowStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", i)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// cachingCaller caches the list of entries for its TTL and streams from random ones.
type cachingCaller struct {
	client     *http.Client
	entryURLs  []string
	cachedURLs []string
	fetchedAt  time.Time
}

func (c *cachingCaller) pickEntry() (string, error) {
	if time.Since(c.fetchedAt) < fleetTTL {
		return c.cachedURLs[rand.IntN(len(c.cachedURLs))], nil
	}
	for _, i := range rand.Perm(len(c.entryURLs)) {
		fetchedAt := time.Now()
		if c.fetchEntries(c.entryURLs[i]) == nil {
			c.fetchedAt = fetchedAt
			return c.cachedURLs[rand.IntN(len(c.cachedURLs))], nil
		}
	}
	return "", fmt.Errorf("no entry returned the list of entries")
}

func (c *cachingCaller) fetchEntries(base string) error {
	response, err := c.client.Get(base + "/v1/entries")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var list struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return err
	}
	if len(list.Entries) == 0 {
		return fmt.Errorf("the list of entries is empty")
	}
	c.cachedURLs = nil
	for _, entry := range list.Entries {
		c.cachedURLs = append(c.cachedURLs, "http://"+entry.Address)
	}
	return nil
}

// checkStream is the oracle: a stream from an entry whose address is cached is complete.
func (c *cachingCaller) checkStream() error {
	base, err := c.pickEntry()
	if err != nil {
		return err
	}
	got := post(c.client, base, chat, chatBody("hi", true), nil)
	complete := got.err == nil && got.status == 200 && got.verdict == "completed" &&
		strings.Count(got.body, "data: {") == streamEvents && strings.HasSuffix(got.body, "data: [DONE]\n\n")
	if !complete {
		return fmt.Errorf("%s: status %d, verdict %q, error %v, body ends %q", base, got.status, got.verdict, got.err, tail(got.body))
	}
	return nil
}

func tail(text string) string { return text[max(0, len(text)-200):] }

// leaveUnderLoad streams from all entries while entry 1 leaves, and returns the violations of the oracle.
func leaveUnderLoad(t *testing.T, leave func(f *fleet)) []error {
	f := newFleet(t, 64, http.HandlerFunc(slowStream), http.HandlerFunc(slowStream))
	var bases []string
	for i := range f.entries {
		bases = append(bases, f.url(i))
	}
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var violations []error
	var callers sync.WaitGroup
	for range streamingCallers {
		caller := &cachingCaller{client: &http.Client{Transport: &http.Transport{}}, entryURLs: bases}
		callers.Go(func() {
			defer caller.client.CloseIdleConnections()
			for ctx.Err() == nil {
				if err := caller.checkStream(); err != nil {
					mu.Lock()
					violations = append(violations, err)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(fleetTTL)
	leave(f)
	time.Sleep(2 * fleetTTL)
	stop()
	callers.Wait()
	return violations
}

func TestLeavingEntryAbortsNoStream(t *testing.T) {
	violations := leaveUnderLoad(t, func(f *fleet) {
		f.stops[1]()
		err := <-f.ended[1]
		f.ended[1] <- err
		qt.Assert(t, err, qt.IsNil)
	})
	qt.Assert(t, violations, qt.HasLen, 0)
}

func TestNaiveLeavesFailSameOracle(t *testing.T) {
	naive := map[string]func(f *fleet){
		"all connections closed at once": func(f *fleet) { _ = f.entries[1].server.Close() },
		"work in progress finished, but cached callers not awaited": func(f *fleet) {
			_ = f.entries[1].server.Shutdown(context.Background())
		},
	}
	for name, leave := range naive {
		t.Run(name, func(t *testing.T) {
			violations := leaveUnderLoad(t, leave)
			qt.Assert(t, len(violations) > 0, qt.IsTrue)
			t.Logf("%d streams violated the oracle", len(violations))
		})
	}
}
