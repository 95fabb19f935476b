package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// OrderKind says what an order changes.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	LoadVersion OrderKind = "load_version"
	SetRole     OrderKind = "set_role"
)

// Order tells the engine to change what it serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	Name string    `json:"name"`
	// Fence is the fencing number of the sender.
	Fence uint64 `json:"fence"`
}

// StaleFence answers an order with an old fencing number, with status 409.
type StaleFence struct {
	// Fence is the newest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// orderState is what orders have made of the engine.
type orderState struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
	// Applied lists the orders that took effect, in order.
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
	if fence, stale := e.staleFence(order); stale {
		writeJSON(w, http.StatusConflict, StaleFence{Fence: fence})
		return
	}
	e.waitForOrder()
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

// staleFence refuses an old number at once. A current one is remembered before the order takes effect.
func (e *Engine) staleFence(order Order) (newest uint64, stale bool) {
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

// waitForOrder lets the duration of an order pass. The order goes on when its sender has gone.
func (e *Engine) waitForOrder() { time.Sleep(e.cfg.OrderDuration) }
