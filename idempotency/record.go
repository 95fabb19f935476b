// Package idempotency decides, from the record kept under an idempotency key, whether a request may
// be dispatched. It keeps a request that must not be repeated to one dispatch across all VMs.
package idempotency

import "time"

// State is how far the request of a record has come. A record starts in Started, and leaves it once.
type State uint8

// States of a record.
const (
	// Started means that the owner may dispatch the request, or has.
	Started State = iota + 1
	// Finished means that the whole answer came back.
	Finished
	// Released means that the request ended with verdict not-run. The key may be used again.
	Released
	// Lost means that the request may have run and that its answer will never be known.
	Lost
)

// Owner is the process that may dispatch the request of a record.
type Owner struct {
	// VM is the name of the owner's VM.
	VM string `cbor:"1,keyasint"`
	// RequestID is the owner's id of the request, unique for ever.
	RequestID string `cbor:"2,keyasint"`
}

// Outcome is the stored answer of a finished request.
type Outcome struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// ContentType is the media type of Body.
	ContentType string `cbor:"2,keyasint"`
	// Body is the whole answer. It is empty when Omitted is set.
	Body []byte `cbor:"3,keyasint"`
	// Omitted means that the answer was too large to be kept.
	Omitted bool `cbor:"4,keyasint"`
}

// Record is what the table keeps under a client's idempotency key.
type Record struct {
	// Fingerprint identifies the content of the request: its path and body.
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Owner       Owner       `cbor:"2,keyasint"`
	State       State       `cbor:"3,keyasint"`
	// Outcome is set in state Finished.
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
	// CreatedUnix is when the record was made, in seconds; it serves only the removal of old records.
	CreatedUnix int64 `cbor:"5,keyasint"`
}

// Fingerprint is the SHA-256 digest of a request's content.
type Fingerprint [32]byte

// Same reports whether r and other are the same state of the same dispatch.
func (r Record) Same(other Record) bool {
	return r.Owner == other.Owner && r.State == other.State
}

// NewRecord returns the record by which owner claims the right to dispatch.
func NewRecord(fingerprint Fingerprint, owner Owner, now time.Time) Record {
	return Record{Fingerprint: fingerprint, Owner: owner, State: Started, CreatedUnix: now.Unix()}
}

// Finish returns the record of a request with a whole answer. Answers over limit bytes are left out.
func (r Record) Finish(outcome Outcome, limit int) Record {
	if outcome.Omitted || len(outcome.Body) > limit {
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

// MarkLost returns the record of a request that may have run and whose answer is lost.
func (r Record) MarkLost() Record {
	r.State = Lost
	return r
}
