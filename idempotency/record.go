// Package idempotency decides, from the record stored under an idempotency key, whether a request may
// be dispatched. It limits a non-idempotent request to one dispatch across all VMs.
package idempotency

import "time"

// State is the progress of a record's request. A record is created in Started and changes its state once.
type State uint8

// States of a record.
const (
	// Started means that the owner may dispatch the request or has dispatched it.
	Started State = iota + 1
	// Finished means that the complete response was received.
	Finished
	// Released means that the request ended with verdict not-run. The key may be claimed again.
	Released
	// Lost means that the request may have run and that its response is permanently lost.
	Lost
)

// Owner identifies the request that claimed a record, and the VM that handles the request.
type Owner struct {
	// VM is the name of the owner's VM.
	VM string `cbor:"1,keyasint"`
	// RequestID is the request's ID, which is never reused.
	RequestID string `cbor:"2,keyasint"`
}

// Outcome is the stored response of a finished request.
type Outcome struct {
	// Status is the HTTP status code.
	Status int `cbor:"1,keyasint"`
	// ContentType is the media type of Body.
	ContentType string `cbor:"2,keyasint"`
	// Body is the complete response body. It is empty when Omitted is set.
	Body []byte `cbor:"3,keyasint"`
	// Omitted means that the response was too large to be stored.
	Omitted bool `cbor:"4,keyasint"`
}

// Record is what the table stores under a client's idempotency key.
type Record struct {
	// Fingerprint identifies the content of the request: its path and body.
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Owner       Owner       `cbor:"2,keyasint"`
	State       State       `cbor:"3,keyasint"`
	// Outcome is set in state Finished.
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
	// CreatedUnix is the creation time in Unix seconds. It is used only to remove old records.
	CreatedUnix int64 `cbor:"5,keyasint"`
}

// Fingerprint is the SHA-256 digest of a request's content.
type Fingerprint [32]byte

// Same reports whether r and other have the same owner and state.
func (r Record) Same(other Record) bool {
	return r.Owner == other.Owner && r.State == other.State
}

// NewRecord returns the record by which owner claims the right to dispatch.
func NewRecord(fingerprint Fingerprint, owner Owner, now time.Time) Record {
	return Record{Fingerprint: fingerprint, Owner: owner, State: Started, CreatedUnix: now.Unix()}
}

// Finish returns the record of a request with a complete response. A body over maxBodyBytes bytes is omitted.
func (r Record) Finish(outcome Outcome, maxBodyBytes int) Record {
	if outcome.Omitted || len(outcome.Body) > maxBodyBytes {
		outcome = Outcome{Status: outcome.Status, ContentType: outcome.ContentType, Omitted: true}
	}
	r.State = Finished
	r.Outcome = &outcome
	return r
}

// Release returns the record of a request that was not run.
func (r Record) Release() Record {
	r.State = Released
	return r
}

// MarkLost returns the record of a request that may have run and whose response is lost.
func (r Record) MarkLost() Record {
	r.State = Lost
	return r
}
