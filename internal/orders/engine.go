package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/order"
)

// readTimeout is the timeout for reading an engine's state.
const readTimeout = 2 * time.Second

// ordersPath is the path on an engine for sending orders and for reading its state.
const ordersPath = "/orders"

// fencedError means that the engine refused an order because of its old fencing token.
type fencedError struct{ newest uint64 }

// Error implements error.
func (e *fencedError) Error() string {
	return fmt.Sprintf("engine refused the order: newest fencing token is %d", e.newest)
}

// readState returns the state of the engine at address.
func readState(ctx context.Context, client *engine.Client, address string) (order.State, error) {
	return call(ctx, client, engine.Request{Address: address, Method: http.MethodGet, Path: ordersPath, FirstByteTimeout: readTimeout})
}

// sendOrder sends an order and returns the state after it. It returns a *fencedError if the engine refuses
// the order's fencing token.
func sendOrder(ctx context.Context, client *engine.Client, address string, o order.Order, timeout time.Duration) (order.State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return order.State{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return call(ctx, client, engine.Request{
		Address: address, Method: http.MethodPost, Path: ordersPath, Header: header, Body: body, FirstByteTimeout: timeout,
	})
}

func call(ctx context.Context, client *engine.Client, request engine.Request) (order.State, error) {
	response, err := client.Do(ctx, request)
	if err != nil {
		return order.State{}, err
	}
	var state order.State
	switch response.Status {
	case http.StatusOK:
		return state, json.Unmarshal(response.Body, &state)
	case http.StatusConflict:
		var newest order.Order
		if err := json.Unmarshal(response.Body, &newest); err != nil {
			return state, err
		}
		return state, &fencedError{newest: newest.Fence}
	default:
		return state, fmt.Errorf("unexpected response status %d from engine: %.200s", response.Status, response.Body)
	}
}
