package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestLeaveLeaksNoGoroutines(t *testing.T) {
	c := qt.New(t)
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	f := newFleet(t, 4, http.HandlerFunc(slowStream), &countingTarget{})
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	for i := range f.entries {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(i)+chat, strings.NewReader(chatBody("hi", true)))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+apiKey)
		response, err := client.Do(request)
		c.Assert(err, qt.IsNil)
		cancel()
		response.Body.Close()
		post(client, f.url(i), "/services/booking/rooms", "book", http.Header{"Idempotency-Key": {"k"}})
	}
	for i := range f.entries {
		f.stops[i]()
	}
	for i := range f.entries {
		err := <-f.ended[i]
		f.ended[i] <- err
		c.Assert(err, qt.IsNil)
	}
}
