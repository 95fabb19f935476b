package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/oklog/ulid/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/execution"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// bookingTarget is the target of the booking service.
const bookingTarget = "booking-1"

func (d *demo) idempotentCall(ctx context.Context) error {
	for _, entry := range d.config.Entries {
		r, err := d.do(ctx, httpRequest{method: http.MethodGet, url: entry + "/services/echo/rooms/7?day=monday", key: d.config.APIKey})
		if err != nil {
			return err
		}
		d.print("GET through %s: status %d, verdict %s\n", entry, r.status, r.header.Get(headerVerdict))
		if r.status != http.StatusOK || r.header.Get(headerVerdict) != verdict.Completed.String() {
			return fmt.Errorf("call failed: %s", r.body)
		}
	}
	return nil
}

// nonIdempotentCall makes the service lose the response to a booking, resends the booking with the same
// Idempotency-Key through another VM, and checks that it ran once.
func (d *demo) nonIdempotentCall(ctx context.Context) error {
	booking := httpRequest{
		method: http.MethodPost,
		key:    d.config.APIKey,
		header: http.Header{"Idempotency-Key": {ulid.Make().String()}, "Content-Type": {"application/json"}},
		body:   []byte(`{"room":7,"party":"` + ulid.Make().String() + `"}`),
	}
	if err := d.inject(ctx, fault.Fault{Subject: bookingTarget, Kind: fault.LoseReplies, Count: 1}); err != nil {
		return err
	}
	first, err := d.book(ctx, d.config.Entries[0], booking)
	if err != nil {
		return err
	}
	if first.header.Get(headerVerdict) != verdict.MayHaveRun.String() || first.header.Get(headerRetry) != "false" {
		return fmt.Errorf("first response does not have verdict %s and x-should-retry false", verdict.MayHaveRun)
	}
	if _, err := d.book(ctx, d.config.Entries[len(d.config.Entries)-1], booking); err != nil {
		return err
	}
	return d.checkExecutions(ctx, booking.body, 1)
}

func (d *demo) book(ctx context.Context, entry string, booking httpRequest) (httpResponse, error) {
	booking.url = entry + "/services/booking/bookings"
	r, err := d.do(ctx, booking)
	if err != nil {
		return httpResponse{}, err
	}
	d.print("POST through %s: status %d, verdict %s, x-should-retry %s\n",
		entry, r.status, r.header.Get(headerVerdict), r.header.Get(headerRetry))
	return r, nil
}

func (d *demo) inject(ctx context.Context, f fault.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return d.doOK(ctx, httpRequest{method: http.MethodPost, url: d.config.Control + "/faults", body: body}, nil)
}

func (d *demo) checkExecutions(ctx context.Context, body []byte, want int) error {
	var count execution.Count
	query := url.Values{"key": {execution.BodyKey(body)}}
	if err := d.doOK(ctx, httpRequest{method: http.MethodGet, url: d.config.Control + "/executions?" + query.Encode()}, &count); err != nil {
		return err
	}
	d.print("the service ran it %d time(s)\n", count.Started)
	if count.Started != want {
		return fmt.Errorf("call ran %d times, want %d", count.Started, want)
	}
	return nil
}
