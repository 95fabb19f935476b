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
	// streamEvents and eventPause make a stream that is longer than the time callers keep addresses.
	streamEvents = 30
	eventPause   = 50 * time.Millisecond
	leaveCallers = 12
)

// slowStream is a target that streams for longer than callers keep addresses.
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

// cachingCaller asks which entries to use, keeps the answer for its time, and streams from them.
type cachingCaller struct {
	client *http.Client
	bases  []string
	known  []string
	asked  time.Time
}

func (c *cachingCaller) base() (string, error) {
	if time.Since(c.asked) < fleetTTL {
		return c.known[rand.IntN(len(c.known))], nil
	}
	for _, i := range rand.Perm(len(c.bases)) {
		asked := time.Now()
		if c.ask(c.bases[i]) == nil {
			c.asked = asked
			return c.known[rand.IntN(len(c.known))], nil
		}
	}
	return "", fmt.Errorf("no entry answered")
}

func (c *cachingCaller) ask(base string) error {
	response, err := c.client.Get(base + "/v1/entries")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.Entries) == 0 {
		return fmt.Errorf("no entries")
	}
	c.known = nil
	for _, entry := range answer.Entries {
		c.known = append(c.known, "http://"+entry.Address)
	}
	return nil
}

// streamOnce is the oracle: a stream on an address that may still be used is whole.
func (c *cachingCaller) streamOnce() error {
	base, err := c.base()
	if err != nil {
		return err
	}
	got := post(c.client, base, chat, chatBody("hi", true), nil)
	whole := got.err == nil && got.status == 200 && got.verdict == "completed" &&
		strings.Count(got.body, "data: {") == streamEvents && strings.HasSuffix(got.body, "data: [DONE]\n\n")
	if !whole {
		return fmt.Errorf("%s: status %d, verdict %q, error %v, body ends %q", base, got.status, got.verdict, got.err, tail(got.body))
	}
	return nil
}

func tail(text string) string { return text[max(0, len(text)-200):] }

// leaveUnderLoad streams from all entries while entry 1 leaves, and returns what broke the oracle.
func leaveUnderLoad(t *testing.T, leave func(f *fleet)) []error {
	f := newFleet(t, 64, http.HandlerFunc(slowStream), http.HandlerFunc(slowStream))
	var bases []string
	for i := range f.entries {
		bases = append(bases, f.url(i))
	}
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var broken []error
	var callers sync.WaitGroup
	for range leaveCallers {
		caller := &cachingCaller{client: &http.Client{Transport: &http.Transport{}}, bases: bases}
		callers.Go(func() {
			defer caller.client.CloseIdleConnections()
			for ctx.Err() == nil {
				if err := caller.streamOnce(); err != nil {
					mu.Lock()
					broken = append(broken, err)
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
	return broken
}

func TestALeavingEntryCutsNoStream(t *testing.T) {
	broken := leaveUnderLoad(t, func(f *fleet) {
		f.stops[1]()
		err := <-f.ended[1]
		f.ended[1] <- err
		qt.Assert(t, err, qt.IsNil)
	})
	qt.Assert(t, broken, qt.HasLen, 0)
}

func TestNaiveLeavesFailTheSameOracle(t *testing.T) {
	naive := map[string]func(f *fleet){
		"all connections closed at once": func(f *fleet) { _ = f.entries[1].server.Close() },
		"work in progress finished, but cached callers not awaited": func(f *fleet) {
			_ = f.entries[1].server.Shutdown(context.Background())
		},
	}
	for name, leave := range naive {
		t.Run(name, func(t *testing.T) {
			broken := leaveUnderLoad(t, leave)
			qt.Assert(t, len(broken) > 0, qt.IsTrue)
			t.Logf("%d streams broke the oracle", len(broken))
		})
	}
}
