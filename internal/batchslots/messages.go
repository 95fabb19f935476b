// Package batchslots declares the messages with which rosemary-batch requests slots from the entry on its VM.
// They are sent on one stream for as long as both processes live. When the stream ends, all slots that were
// granted on it are void.
package batchslots

import "github.com/rosemarydyke/rosemarydyke/internal/admission"

// Method is the peer method of the stream.
const Method = "batch.slots"

// ToEntry is a message from rosemary-batch. Exactly one field is set.
type ToEntry struct {
	Demand   *Demand   `cbor:"1,keyasint,omitempty"`
	Released *Released `cbor:"2,keyasint,omitempty"`
}

// Demand states how many slots the batch process could use now. It replaces the previous Demand.
type Demand struct {
	Wants []Want `cbor:"1,keyasint"`
}

// Want is the demand for one model, running items included.
type Want struct {
	Model string `cbor:"1,keyasint"`
	// Slots does not include suspects.
	Slots int `cbor:"2,keyasint"`
	// Suspects are the fingerprints of waiting items whose responses were once cut off by a target. Each of
	// them runs only in a slot that was granted for it, so that two suspects never share a target.
	Suspects []uint64 `cbor:"3,keyasint,omitempty"`
}

// Released returns a slot.
type Released struct {
	Slot uint64 `cbor:"1,keyasint"`
	// Outcome is the outcome of the attempt. Its End is zero if the slot was not used.
	Outcome admission.Outcome `cbor:"2,keyasint"`
	// Fingerprint identifies the item that ran.
	Fingerprint uint64 `cbor:"3,keyasint"`
	// TokensWasted counts generated tokens that were discarded.
	TokensWasted int `cbor:"4,keyasint"`
	// PromptParts are the fingerprints of the parts of the item's prompt that other requests may have too.
	PromptParts []uint64 `cbor:"5,keyasint,omitempty"`
}

// ToBatch is a message from the entry. Exactly one field is set.
type ToBatch struct {
	Granted     *Granted     `cbor:"1,keyasint,omitempty"`
	Revoked     *Revoked     `cbor:"2,keyasint,omitempty"`
	Quarantined *Quarantined `cbor:"3,keyasint,omitempty"`
	Suspected   *Suspected   `cbor:"4,keyasint,omitempty"`
	Blamed      *Blamed      `cbor:"5,keyasint,omitempty"`
}

// Granted grants one slot, for one item.
type Granted struct {
	Slot   uint64 `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	// Address is the target's HTTP address (IP:port).
	Address string `cbor:"4,keyasint"`
	// Suspect is the fingerprint of the only item that may use the slot. If it is zero, any item that is not a
	// suspect may.
	Suspect uint64 `cbor:"5,keyasint,omitempty"`
}

// Revoked revokes a slot immediately: the item's stream must be cancelled and Released sent.
type Revoked struct {
	Slot uint64 `cbor:"1,keyasint"`
}

// Quarantined adds fingerprints that may not be sent to any target.
type Quarantined struct {
	Fingerprints []uint64 `cbor:"1,keyasint"`
}

// Suspected adds fingerprints of items that were stopped on a target shortly before it broke off other requests. They
// may have crashed it, and run only in slots that were granted for them.
type Suspected struct {
	Fingerprints []uint64 `cbor:"1,keyasint"`
}

// Blamed replaces the groups of keys under which targets crash, see package quarantine. Items that hold a whole group are not
// sent to any target.
type Blamed struct {
	Groups [][]uint64 `cbor:"1,keyasint"`
}
