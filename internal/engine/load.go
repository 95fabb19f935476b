package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// loadTimeout bounds the wait for the headers of a load report.
const loadTimeout = time.Second

// Load is an engine's load report. It lags behind the actual load by AgeMS.
type Load struct {
	// Running is the number of requests that the engine is running.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's queue.
	Waiting int `json:"waiting"`
	// Slots is the maximum number of requests that the engine runs concurrently.
	Slots int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Load fetches the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	response, err := c.Do(ctx, Request{Address: address, Method: http.MethodGet, Path: "/load", FirstByteTimeout: loadTimeout})
	if err != nil {
		return Load{}, err
	}
	var load Load
	if response.Status != http.StatusOK {
		return load, fmt.Errorf("load report: status %d", response.Status)
	}
	if err := json.Unmarshal(response.Body, &load); err != nil {
		return load, fmt.Errorf("load report: %w", err)
	}
	return load, nil
}
