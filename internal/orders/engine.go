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

// readTimeout bounds the reading of an engine's state.
const readTimeout = 2 * time.Second

// ordersPath is the engines' path of orders and of the state that they have made.
const ordersPath = "/orders"

// fencedError reports an order that the engine refused for its old fencing number.
type fencedError struct{ newest uint64 }

// Error implements error.
func (e *fencedError) Error() string {
	return fmt.Sprintf("the engine has seen fencing number %d", e.newest)
}

// readState returns what the engine at address serves.
func readState(ctx context.Context, client *engine.Client, address string) (order.State, error) {
	return exchange(ctx, client, engine.Request{Address: address, Method: http.MethodGet, Path: ordersPath, FirstByteTimeout: readTimeout})
}

// sendOrder sends an order and returns the state after it. It fails with *fencedError.
func sendOrder(ctx context.Context, client *engine.Client, address string, o order.Order, timeout time.Duration) (order.State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return order.State{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return exchange(ctx, client, engine.Request{
		Address: address, Method: http.MethodPost, Path: ordersPath, Header: header, Body: body, FirstByteTimeout: timeout,
	})
}

func exchange(ctx context.Context, client *engine.Client, request engine.Request) (order.State, error) {
	answer, err := client.Do(ctx, request)
	if err != nil {
		return order.State{}, err
	}
	var state order.State
	switch answer.Status {
	case http.StatusOK:
		return state, json.Unmarshal(answer.Body, &state)
	case http.StatusConflict:
		var newest order.Order
		if err := json.Unmarshal(answer.Body, &newest); err != nil {
			return state, err
		}
		return state, &fencedError{newest: newest.Fence}
	default:
		return state, fmt.Errorf("the engine answered with status %d: %.200s", answer.Status, answer.Body)
	}
}
