package order

import (
	"cmp"
	"time"
)

// Config configures a Reconciler.
type Config struct {
	// ChecksFencing reports whether the target refuses orders with an old fencing token.
	ChecksFencing bool
	// Term is how long a holder may send orders after a claim. Default 30s.
	Term time.Duration
	// MaxOrderDuration bounds the time after sending within which an order takes effect, if ever. Default 2m.
	MaxOrderDuration time.Duration
	// ReadInterval is the time between two reads of the state of a target that needs no order. Default 30s.
	ReadInterval time.Duration
	// RetryInterval is the time before a failed step is retried. Default 2s.
	RetryInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.Term = cmp.Or(c.Term, 30*time.Second)
	c.MaxOrderDuration = cmp.Or(c.MaxOrderDuration, 2*time.Minute)
	c.ReadInterval = cmp.Or(c.ReadInterval, 30*time.Second)
	c.RetryInterval = cmp.Or(c.RetryInterval, 2*time.Second)
	return c
}

// Step is what the owner of a target should do next.
type Step uint8

// Steps.
const (
	// Wait means that there is nothing to do until Action.At.
	Wait Step = iota
	// Read means that the target's state must be read.
	Read
	// Claim means that a fencing token must be claimed.
	Claim
	// Send means that Action.Order must be sent.
	Send
)

// Action is a step with its parameters.
type Action struct {
	Step  Step
	At    time.Time
	Order Order
}

// Reconciler brings one target to its desired state. The caller carries out one action at a time and
// reports the result before it requests the next.
type Reconciler struct {
	config  Config
	desired State

	state      State
	stateKnown bool
	readAt     time.Time
	retryAt    time.Time

	fence     uint64
	claimedAt time.Time
	sendAfter time.Time
}

// NewReconciler returns the reconciler of a target whose ownership this VM has just taken.
func NewReconciler(config Config, desired State) *Reconciler {
	return &Reconciler{config: config.withDefaults(), desired: desired}
}

// SetDesired changes the desired state.
func (r *Reconciler) SetDesired(desired State) { r.desired = desired }

// IsReady reports whether the target is known to be in its desired state.
func (r *Reconciler) IsReady() bool {
	_, missing := r.state.NextOrder(r.desired)
	return r.stateKnown && !missing
}

// Model returns the model that the target serves according to the last read, empty if none.
func (r *Reconciler) Model() string { return r.state.Model }

// MaxOrderDuration returns the time after which an order without a response has taken effect or never will.
func (r *Reconciler) MaxOrderDuration() time.Duration { return r.config.MaxOrderDuration }

// Next returns the next action.
func (r *Reconciler) Next(now time.Time) Action {
	if now.Before(r.retryAt) {
		return Action{Step: Wait, At: r.retryAt}
	}
	if !r.stateKnown || now.Sub(r.readAt) >= r.config.ReadInterval {
		return Action{Step: Read}
	}
	order, missing := r.state.NextOrder(r.desired)
	if !missing {
		return Action{Step: Wait, At: r.readAt.Add(r.config.ReadInterval)}
	}
	if r.fence != 0 && now.Before(r.sendAfter) {
		return Action{Step: Wait, At: r.sendAfter}
	}
	if !r.holdsClaim(now) {
		return Action{Step: Claim}
	}
	if r.readAt.Before(r.sendAfter) {
		return Action{Step: Read}
	}
	order.Fence = r.fence
	return Action{Step: Send, Order: order}
}

func (r *Reconciler) holdsClaim(now time.Time) bool {
	return r.fence != 0 && now.Before(r.claimedAt.Add(r.config.Term))
}

// Claimed records a successful claim. The times are those before the request was sent and when its response
// was received. If otherHolder is set, the previous fencing token belonged to another holder.
func (r *Reconciler) Claimed(fence uint64, sent, now time.Time, otherHolder bool) {
	r.fence = fence
	r.claimedAt = sent
	if otherHolder && !r.config.ChecksFencing {
		// The former holder counts its term from before it sent its claim, so its term ends before now plus Term.
		// The wait outlasts the term of this claim, so no order is sent under it. It only ensures that a
		// further claim by the former holder is noticed.
		r.sendAfter = now.Add(r.config.Term).Add(r.config.MaxOrderDuration)
	}
}

// StateRead records the target's state. The time is that before the state was requested.
func (r *Reconciler) StateRead(state State, requestedAt time.Time) {
	r.state = state
	r.stateKnown = true
	r.readAt = requestedAt
}

// OrderApplied records that an order took effect and the state after it. The time is that before it was sent.
func (r *Reconciler) OrderApplied(state State, sent time.Time) { r.StateRead(state, sent) }

// OrderFenced records that the target refused an order because another holder has a higher fencing token.
func (r *Reconciler) OrderFenced(now time.Time) {
	r.fence = 0
	r.stateKnown = false
	r.retryAt = now.Add(r.config.RetryInterval)
}

// Failed records that a step failed. An order may have taken effect anyway, so the state is read again.
func (r *Reconciler) Failed(now time.Time) {
	r.stateKnown = false
	r.retryAt = now.Add(r.config.RetryInterval)
}

// Deferred records that no step may be taken before the given time.
func (r *Reconciler) Deferred(at time.Time) { r.retryAt = at }
