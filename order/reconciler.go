package order

import (
	"cmp"
	"time"
)

// Config configures a Reconciler.
type Config struct {
	// ChecksFencing says that the target refuses orders with an old fencing number.
	ChecksFencing bool
	// Term is how long a claim lets its holder send orders. Default 30s.
	Term time.Duration
	// MaxOrderDuration bounds the time from sending an order until it has taken effect or never will. Default 2m.
	MaxOrderDuration time.Duration
	// ReadInterval is the time between two looks at a target that has what it should. Default 30s.
	ReadInterval time.Duration
	// RetryInterval is the time before a failed step is tried again. Default 2s.
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
	// Wait means that nothing is to be done until Action.At.
	Wait Step = iota
	// Read means that the target's state is to be read.
	Read
	// Claim means that a fencing number is to be claimed.
	Claim
	// Send means that Action.Order is to be sent.
	Send
)

// Action is a step with its particulars.
type Action struct {
	Step  Step
	At    time.Time
	Order Order
}

// Reconciler brings one target to its wanted state. Its user carries out one action at a time and
// reports the result before it asks for the next.
type Reconciler struct {
	config Config
	wanted State

	state   State
	known   bool
	readAt  time.Time
	retryAt time.Time

	fence      uint64
	claimedAt  time.Time
	quietAfter time.Time
}

// NewReconciler returns the reconciler of a target that this VM has just come to own.
func NewReconciler(config Config, wanted State) *Reconciler {
	return &Reconciler{config: config.withDefaults(), wanted: wanted}
}

// SetDesired changes the wanted state.
func (r *Reconciler) SetDesired(wanted State) { r.wanted = wanted }

// IsReady reports whether the target is known to have what it should.
func (r *Reconciler) IsReady() bool {
	_, missing := r.state.NextOrder(r.wanted)
	return r.known && !missing
}

// Model returns the model that the target serves as far as is known, empty for none.
func (r *Reconciler) Model() string { return r.state.Model }

// MaxOrderDuration returns the time after which an order without an answer has taken effect or never will.
func (r *Reconciler) MaxOrderDuration() time.Duration { return r.config.MaxOrderDuration }

// Next returns the next action.
func (r *Reconciler) Next(now time.Time) Action {
	if now.Before(r.retryAt) {
		return Action{Step: Wait, At: r.retryAt}
	}
	if !r.known || now.Sub(r.readAt) >= r.config.ReadInterval {
		return Action{Step: Read}
	}
	order, missing := r.state.NextOrder(r.wanted)
	if !missing {
		return Action{Step: Wait, At: r.readAt.Add(r.config.ReadInterval)}
	}
	if r.fence != 0 && now.Before(r.quietAfter) {
		return Action{Step: Wait, At: r.quietAfter}
	}
	if !r.holdsClaim(now) {
		return Action{Step: Claim}
	}
	if r.readAt.Before(r.quietAfter) {
		return Action{Step: Read}
	}
	order.Fence = r.fence
	return Action{Step: Send, Order: order}
}

func (r *Reconciler) holdsClaim(now time.Time) bool {
	return r.fence != 0 && now.Before(r.claimedAt.Add(r.config.Term))
}

// Claimed records a claim that took effect. Sent is the time before it was sent and now the time
// of its reply. OtherHolder says that the number before belonged to another holder.
func (r *Reconciler) Claimed(fence uint64, sent, now time.Time, otherHolder bool) {
	r.fence = fence
	r.claimedAt = sent
	if otherHolder && !r.config.ChecksFencing {
		// The former holder counts its term from before it sent its claim, which was before now. It
		// lasts longer than our own term, so this claim only stops the former holder from claiming unseen.
		r.quietAfter = now.Add(r.config.Term).Add(r.config.MaxOrderDuration)
	}
}

// StateRead records the target's state, asked for at the time asked.
func (r *Reconciler) StateRead(state State, asked time.Time) {
	r.state = state
	r.known = true
	r.readAt = asked
}

// OrderApplied records an order that took effect, with the state after it. Sent is the time before it was sent.
func (r *Reconciler) OrderApplied(state State, sent time.Time) { r.StateRead(state, sent) }

// OrderFenced records that the target refused an order because another holder has a higher number.
func (r *Reconciler) OrderFenced(now time.Time) {
	r.fence = 0
	r.known = false
	r.retryAt = now.Add(r.config.RetryInterval)
}

// Failed records that a step had no result. An order may have taken effect, so the state is read again.
func (r *Reconciler) Failed(now time.Time) {
	r.known = false
	r.retryAt = now.Add(r.config.RetryInterval)
}

// Deferred records that a step must not be tried before the time at.
func (r *Reconciler) Deferred(at time.Time) { r.retryAt = at }
