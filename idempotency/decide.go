package idempotency

// Liveness is what is known of the owner's request.
type Liveness uint8

// Liveness of a request at its owner.
const (
	// Unknown means that the owner could not be asked.
	Unknown Liveness = iota
	// Running means that the owner has the request in progress.
	Running
	// Gone means that the owner has left, has restarted, or has the request no longer.
	Gone
)

// Action is what becomes of a request whose key has a record already.
type Action uint8

// Actions of a Decision.
const (
	// Claim means to replace the record by one's own, on condition that it has not changed, and to dispatch if that succeeds.
	Claim Action = iota + 1
	// Replay means to answer with the stored outcome.
	Replay
	// RefuseMismatch means that the key belongs to another request.
	RefuseMismatch
	// RefuseRunning means that the request is in progress elsewhere.
	RefuseRunning
	// RefuseLost means that the request may have run and that its answer is not known.
	RefuseLost
	// RefuseOmitted means that the request has run and that its answer was too large to be kept.
	RefuseOmitted
)

// NeedsLiveness reports whether Decide looks at the owner's liveness for this record.
func NeedsLiveness(existing Record, fingerprint Fingerprint) bool {
	return existing.Fingerprint == fingerprint && existing.State == Started
}

// Decide returns what becomes of a request with fingerprint that finds existing under its key.
// No answer but Take leads to a dispatch, so wrong liveness never causes a second one.
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
