package account

import "time"

const (
	// revocationMargin is subtracted from the bound. Clocks that differ in rate by 2% drift by 100 ms in a bound of 5 s, and as
	// much again is left for the time from reading the clock to sending the request.
	revocationMargin = 200 * time.Millisecond
	// listedShare is the share of the bound up to which a VM takes new clients. Clients cache addresses, so a VM whose
	// configuration gets old is left out before it has to refuse them.
	listedShare = 0.6
	// pollShare is the share of the bound for which the store may hold a call. The age grows to twice this time between answers, 2 s of 5 s.
	pollShare = 0.2
)

// Revocation limits the age of the configuration by which API keys are accepted.
type Revocation struct {
	// Bound is how long after the removal of a key a request that carries it may still be accepted. Zero means no bound.
	Bound time.Duration
}

// AcceptsKeys reports whether a configuration is recent enough to accept the keys in it.
func (r Revocation) AcceptsKeys(c Confirmation) bool {
	return r.within(c, r.Bound-revocationMargin)
}

// Listed reports whether a VM with a configuration of that age takes new clients.
func (r Revocation) Listed(c Confirmation) bool {
	return r.within(c, time.Duration(listedShare*float64(r.Bound)))
}

func (r Revocation) within(c Confirmation, limit time.Duration) bool {
	return r.Bound <= 0 || c.Known && c.Age < limit
}

// Reason is why a request is not accepted.
type Reason string

// Reasons.
const (
	// MissingKey means that the request has no credentials.
	MissingKey Reason = "missing_key"
	// InvalidCredentials means that the credentials are not exactly one API key.
	InvalidCredentials Reason = "invalid_credentials"
	// UnknownKey means that no account has the key, or not any more.
	UnknownKey Reason = "unknown_key"
	// OutdatedConfiguration means that the configuration is too old to tell which keys are valid.
	OutdatedConfiguration Reason = "outdated_configuration"
)

// Credentials are what a request shows for itself.
type Credentials struct {
	// Present is false if the request has no credentials, and Valid is false if they are not exactly one API key.
	Present, Valid bool
	Key            Digest
}

// PollInterval returns how long the store may hold a call for the configuration: short enough that a VM stays listed when one
// call fails. Zero means no need for a bound.
func (r Revocation) PollInterval() time.Duration { return time.Duration(pollShare * float64(r.Bound)) }

// Authorize returns the account of a request that needs a key, or the reason why the request is not accepted. The directory
// must be read after the confirmation: a directory read before may lack a removal that the confirmation covers.
func (r Revocation) Authorize(d *Directory, confirmation Confirmation, c Credentials) (*Account, Reason) {
	if !r.AcceptsKeys(confirmation) {
		return nil, OutdatedConfiguration
	}
	if !c.Present {
		return nil, MissingKey
	}
	if !c.Valid {
		return nil, InvalidCredentials
	}
	a, ok := d.Authenticate(c.Key)
	if !ok {
		return nil, UnknownKey
	}
	return a, ""
}
