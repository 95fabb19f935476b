package idempotency

// Liveness is what is known about whether the owner's request is still in progress.
type Liveness uint8

// Values of Liveness.
const (
	// Unknown means that the owner could not be reached.
	Unknown Liveness = iota
	// Running means that the owner has the request in progress.
	Running
	// Gone means that the owner has left the fleet or has restarted, or no longer has the request in progress.
	Gone
)

// Action is how to proceed with a request whose idempotency key already has a record.
type Action uint8

// Values of Action.
const (
	// Claim means to replace the record with the request's own, on the condition that the record has not changed, and to
	// dispatch the request if that succeeds.
	Claim Action = iota + 1
	// Replay means to respond with the stored outcome.
	Replay
	// RefuseMismatch means that the key was used for a request with other content.
	RefuseMismatch
	// RefuseRunning means that the request is, or may still be, in progress at its owner.
	RefuseRunning
	// RefuseLost means that the request may have run and that its response is lost.
	RefuseLost
	// RefuseOmitted means that the request has run and that its response was too large to be stored.
	RefuseOmitted
)

// NeedsLiveness reports whether the result of Decide depends on the owner's liveness.
func NeedsLiveness(existing Record, fingerprint Fingerprint) bool {
	return existing.Fingerprint == fingerprint && existing.State == Started
}

// Decide returns how to proceed with a request whose key has the record existing.
// Only Claim leads to a dispatch, and it does not depend on liveness, so wrong liveness never causes a second dispatch.
func Decide(existing Record, fingerprint Fingerprint, owner Liveness) Action {
	if existing.Fingerprint != fingerprint {
		return RefuseMismatch
	}
	switch existing.State {
	case Released:
		return Claim
	case Finished:
		if existing.Outcome == nil || existing.Outcome.Omitted {
			return RefuseOmitted
		}
		return Replay
	case Started:
		if owner == Gone {
			return RefuseLost
		}
		return RefuseRunning
	default:
		return RefuseLost
	}
}
