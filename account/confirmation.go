package account

import (
	"math"
	"sync/atomic"
	"time"
)

// Confirmation says how old a copy of the configuration is.
type Confirmation struct {
	// Age is the time since the store was asked for what confirms the copy, including time for which the VM was suspended.
	Age time.Duration
	// Known is false for a copy that no answer of the store is known to confirm.
	Known bool
}

// ConfirmationTracker records to what time a VM's copy of the configuration is known to be complete. All times are on one clock,
// which keeps running while the VM is suspended. It is safe for concurrent use.
//
// A copy is recorded after it has been adopted, and Confirmation is read before the copy, so that what is read is at least as
// recent as the confirmation says.
type ConfirmationTracker struct {
	// at is the latest such time, or unconfirmed.
	at atomic.Int64
}

// unconfirmed is before all times of the clock.
const unconfirmed = math.MinInt64

// NewConfirmationTracker returns a tracker of a copy that is not confirmed.
func NewConfirmationTracker() *ConfirmationTracker {
	t := &ConfirmationTracker{}
	t.at.Store(unconfirmed)
	return t
}

// Answered records that the store answered a call, and that what it answered has been adopted. asked is when the call began: the
// answer need not contain what the store acknowledged later, however long it was under way.
func (t *ConfirmationTracker) Answered(asked time.Duration) { t.advance(asked) }

// Copied records that a peer answered a call that began at asked, and that its copy has been adopted. peer is what the peer said
// about the age of its copy, which is counted from the answer of the store and not from the peer's.
func (t *ConfirmationTracker) Copied(asked time.Duration, peer Confirmation) {
	if peer.Known && peer.Age >= 0 {
		t.advance(asked - peer.Age)
	}
}

func (t *ConfirmationTracker) advance(to time.Duration) {
	for {
		at := t.at.Load()
		if int64(to) <= at || t.at.CompareAndSwap(at, int64(to)) {
			return
		}
	}
}

// Confirmation returns the confirmation of the copy at a time of the clock.
func (t *ConfirmationTracker) Confirmation(now time.Duration) Confirmation {
	at := t.at.Load()
	if at == unconfirmed {
		return Confirmation{}
	}
	return Confirmation{Age: now - time.Duration(at), Known: true}
}
