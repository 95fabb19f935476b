package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// loadTimeout bounds the reading of a load report.
const loadTimeout = time.Second

// Load is an engine's report of its load, which lags behind the truth.
type Load struct {
	// Running is the number of requests that the engine runs.
	Running int `json:"running"`
	// Waiting is the number of requests that wait inside the engine.
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the engine can run at once.
	Slots int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Load reads the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	answer, err := c.Do(ctx, Request{Address: address, Method: http.MethodGet, Path: "/load", FirstByteTimeout: loadTimeout})
	if err != nil {
		return Load{}, err
	}
	var load Load
	if answer.Status != http.StatusOK {
		return load, fmt.Errorf("load report: status %d", answer.Status)
	}
	if err := json.Unmarshal(answer.Body, &load); err != nil {
		return load, fmt.Errorf("load report: %w", err)
	}
	return load, nil
}
