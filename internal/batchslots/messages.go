// Package batchslots declares the messages by which rosemary-batch asks the entry on its VM for
// slots. They travel on one stream for as long as both processes live; when the stream ends, all
// slots that were granted on it are void.
package batchslots

import "github.com/rosemarydyke/rosemarydyke/internal/admission"

// Method is the peer method of the stream.
const Method = "batch.slots"

// ToEntry is a message from rosemary-batch. Exactly one field is set.
type ToEntry struct {
	Demand   *Demand   `cbor:"1,keyasint,omitempty"`
	Released *Released `cbor:"2,keyasint,omitempty"`
}

// Demand replaces the numbers of slots that the batch process could use now.
type Demand struct {
	Wants []Want `cbor:"1,keyasint"`
}

// Want is the demand for one model, running items included.
type Want struct {
	Model string `cbor:"1,keyasint"`
	// Slots does not include suspects.
	Slots int `cbor:"2,keyasint"`
	// Suspects are the fingerprints of waiting items that a target broke off once. Each of them runs
	// only in a slot that was granted for it, so that two suspects never meet on a target.
	Suspects []uint64 `cbor:"3,keyasint,omitempty"`
}

// Released gives a slot back.
type Released struct {
	Slot uint64 `cbor:"1,keyasint"`
	// Outcome reports the attempt. End is zero when the slot was not used.
	Outcome admission.Outcome `cbor:"2,keyasint"`
	// Fingerprint identifies the item that ran.
	Fingerprint uint64 `cbor:"3,keyasint"`
	// TokensWasted counts tokens that were generated and thrown away.
	TokensWasted int `cbor:"4,keyasint"`
}

// ToBatch is a message from the entry. Exactly one field is set.
type ToBatch struct {
	Granted     *Granted     `cbor:"1,keyasint,omitempty"`
	Revoked     *Revoked     `cbor:"2,keyasint,omitempty"`
	Quarantined *Quarantined `cbor:"3,keyasint,omitempty"`
}

// Granted hands out one slot, for one item.
type Granted struct {
	Slot   uint64 `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	// Address is the target's HTTP address (IP:port).
	Address string `cbor:"4,keyasint"`
	// Suspect is the fingerprint of the one suspect item that the slot is for. Zero is for any item that is no suspect.
	Suspect uint64 `cbor:"5,keyasint,omitempty"`
}

// Revoked takes a slot back at once: the item's stream must be cancelled and Released sent.
type Revoked struct {
	Slot uint64 `cbor:"1,keyasint"`
}

// Quarantined adds fingerprints that may not be sent to any target.
type Quarantined struct {
	Fingerprints []uint64 `cbor:"1,keyasint"`
}
