package engine_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// receivedRequests records the IDs of the requests whose headers a target has received.
type receivedRequests struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (r *receivedRequests) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[id] = true
}

func (r *receivedRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id]
}

func TestCancelledNotRunRequestNeverArrives(t *testing.T) {
	const requests = 2000
	received := &receivedRequests{seen: map[string]bool{}}
	target := startRawTarget(t, func(_ *rawTarget, conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		received.add(request.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(conn, completeJSON)
	})
	client := engine.New(engine.Config{})
	var mu sync.Mutex
	var notRun []string
	counts := map[verdict.Verdict]int{}
	var group sync.WaitGroup
	slots := make(chan struct{}, 64)
	for range requests {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			id := randomID()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(2000))*time.Microsecond)
			defer cancel()
			_, err := client.Complete(ctx, engine.Request{
				Address: target.address(), Method: http.MethodPost, Path: "/", Header: http.Header{"X-Request-Id": {id}}, Body: []byte("{}"),
			})
			mu.Lock()
			defer mu.Unlock()
			counts[verdict.Of(err)]++
			if verdict.Of(err) == verdict.NotRun {
				notRun = append(notRun, id)
			}
		})
	}
	group.Wait()
	// Bytes written to a connection arrive before the target's handlers return.
	target.listener.Close()
	target.wg.Wait()
	for _, id := range notRun {
		qt.Check(t, received.has(id), qt.IsFalse)
	}
	t.Logf("verdicts: %v", counts)
}

func randomID() string {
	const letters = "0123456789abcdef"
	id := make([]byte, 16)
	for i := range id {
		id[i] = letters[rand.IntN(len(letters))]
	}
	return string(id)
}
