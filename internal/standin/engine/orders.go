package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// OrderKind is the kind of change that an order makes.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	LoadVersion OrderKind = "load_version"
	SetRole     OrderKind = "set_role"
)

// Order is a command to change what the engine serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	Name string    `json:"name"`
	// Fence is the fencing token of the sender.
	Fence uint64 `json:"fence"`
}

// StaleFence is the response to an order with a stale fencing token, with status 409.
type StaleFence struct {
	// Fence is the highest fencing token that the engine has seen.
	Fence uint64 `json:"fence"`
}

// orderState is the engine's state that orders change.
type orderState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
	// Applied lists the orders in the order in which they took effect.
	Applied []Order `json:"applied"`
}

func (s *orderState) serves(model string) bool {
	return model == s.Model || slices.Contains(s.Adapters, model)
}

func (s *orderState) apply(o Order) bool {
	switch o.Kind {
	case LoadModel:
		s.Model = o.Name
	case LoadAdapter:
		s.Adapters = append(s.Adapters, o.Name)
	case LoadVersion:
		s.Version = o.Name
	case SetRole:
		s.Role = o.Name
	default:
		return false
	}
	s.Fence = max(s.Fence, o.Fence)
	s.Applied = append(s.Applied, o)
	return true
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !e.waitWhileFrozen(r) {
		return
	}
	if fence, stale := e.checkFence(order); stale {
		writeJSON(w, http.StatusConflict, StaleFence{Fence: fence})
		return
	}
	e.sleepOrderDuration()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fence < e.orders.Fence {
		writeJSON(w, http.StatusConflict, StaleFence{Fence: e.orders.Fence})
		return
	}
	if !e.orders.apply(order) {
		writeError(w, http.StatusBadRequest, "invalid_request", "unknown kind of order")
		return
	}
	writeJSON(w, http.StatusOK, e.orders)
}

// checkFence reports whether an order's fencing token is stale, and returns the highest token seen. It records a
// current token before the order takes effect.
func (e *Engine) checkFence(order Order) (newest uint64, stale bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.ChecksFencing {
		return 0, false
	}
	if order.Fence < e.orders.Fence {
		return e.orders.Fence, true
	}
	e.orders.Fence = order.Fence
	return e.orders.Fence, false
}

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	if !e.waitWhileFrozen(r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.orders)
}

// sleepOrderDuration sleeps for the duration of an order, even if its sender disconnects.
func (e *Engine) sleepOrderDuration() { time.Sleep(e.cfg.OrderDuration) }
