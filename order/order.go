// Package order decides which orders a target needs and who may send them: loading of a model, an
// adapter or a version, and changes of role.
//
// Orders to one target are sent by one holder at a time. A holder claims a fencing number, which
// rises with each claim and travels with each order. A target that checks it refuses orders of
// former holders. For a target that ignores it, a new holder waits until the former holder's claim
// has ended and its last order has taken effect, and reads the target's state again before it
// orders anything.
//
// The types are pure: time is passed in and nothing blocks. They are not safe for concurrent use.
package order

import "slices"

// Kind says what an order changes. The values are those of the engines' protocol.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	LoadVersion Kind = "load_version"
	SetRole     Kind = "set_role"
)

// Order is one order to a target.
type Order struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Fence is the fencing number of the claim under which the order is sent.
	Fence uint64 `json:"fence"`
}

// State is what a target serves, or should serve. An empty field of a wanted state means that it does not matter.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
}

// NextOrder returns the first order that brings a target from state s nearer to the wanted state.
// It reports false when nothing is missing. A model comes first, since loading one drops adapters.
func (s State) NextOrder(wanted State) (Order, bool) {
	switch {
	case wanted.Model != "" && s.Model != wanted.Model:
		return Order{Kind: LoadModel, Name: wanted.Model}, true
	case wanted.Version != "" && s.Version != wanted.Version:
		return Order{Kind: LoadVersion, Name: wanted.Version}, true
	case wanted.Role != "" && s.Role != wanted.Role:
		return Order{Kind: SetRole, Name: wanted.Role}, true
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(s.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Name: adapter}, true
		}
	}
	return Order{}, false
}
