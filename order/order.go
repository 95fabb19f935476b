// Package order decides which orders a target needs and who may send them. An order tells a target to load
// a model, an adapter or a version, or to change its role.
//
// Only one holder at a time sends orders to a target. A holder claims a fencing token, which increases with
// each claim and is sent with each order. A target that checks the token refuses orders from former
// holders. For a target that ignores it, a new holder waits until the former holder's claim has expired and
// its last order has taken effect, and reads the target's state again before it sends an order.
//
// The types perform no I/O, do not block, and take the current time as an argument. They are not safe for
// concurrent use.
package order

import "slices"

// Kind is the kind of an order. The values are those of the engines' protocol.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	LoadVersion Kind = "load_version"
	SetRole     Kind = "set_role"
)

// Order is an order to a target.
type Order struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Fence is the fencing token of the claim under which the order is sent.
	Fence uint64 `json:"fence"`
}

// State is the actual or desired state of a target. Empty fields of a desired state are ignored.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
}

// NextOrder returns the first order that brings a target from state s closer to the desired state. It reports
// false if no order is needed. The model comes first, because loading a model drops the adapters.
func (s State) NextOrder(desired State) (Order, bool) {
	switch {
	case desired.Model != "" && s.Model != desired.Model:
		return Order{Kind: LoadModel, Name: desired.Model}, true
	case desired.Version != "" && s.Version != desired.Version:
		return Order{Kind: LoadVersion, Name: desired.Version}, true
	case desired.Role != "" && s.Role != desired.Role:
		return Order{Kind: SetRole, Name: desired.Role}, true
	}
	for _, adapter := range desired.Adapters {
		if !slices.Contains(s.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Name: adapter}, true
		}
	}
	return Order{}, false
}
