package routing

import "time"

// Target is a registered process that runs requests of one service.
type Target struct {
	// ID identifies one start of the process, together with StartedUnixMilli.
	ID string
	// StartedUnixMilli is when the process started, in milliseconds since the Unix epoch by its own clock. It only
	// distinguishes starts with the same ID.
	StartedUnixMilli int64
	Service          string
	Address          string
	AvailabilityZone string
	// Version is the version of the target's software. Empty means unknown.
	Version string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets take no new requests.
	Draining bool
}

// Registry keeps the registered targets during outages of the store, in which entries expire although their targets
// are alive.
type Registry struct {
	targets map[string]Target
	// missing holds the targets whose entries were deleted, and until when they are still used.
	missing map[string]time.Time
	// graceUntil is the time until which the targets of deleted entries are kept.
	graceUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]Target{}, missing: map[string]time.Time{}}
}

// StoreRecovered records that the store is available again after an outage. Targets whose entries expired during the
// outage are kept for the grace period.
func (r *Registry) StoreRecovered(now time.Time, grace time.Duration) {
	r.graceUntil = now.Add(grace)
}

// Put adds or replaces a target.
func (r *Registry) Put(t Target) {
	r.targets[t.ID] = t
	delete(r.missing, t.ID)
}

// Remove removes a target whose entry was deleted, at once or at the end of the grace period.
func (r *Registry) Remove(now time.Time, id string) {
	if _, known := r.targets[id]; !known {
		return
	}
	if now.Before(r.graceUntil) {
		if _, alreadyMissing := r.missing[id]; !alreadyMissing {
			r.missing[id] = r.graceUntil
		}
		return
	}
	delete(r.targets, id)
	delete(r.missing, id)
}

// Drop removes a target whose entry names none any more. There is no grace period, since the entry has not expired.
func (r *Registry) Drop(id string) {
	delete(r.targets, id)
	delete(r.missing, id)
}

// Replace applies a complete list of the registered targets.
func (r *Registry) Replace(now time.Time, targets []Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		r.Put(t)
	}
	for id := range r.targets {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Expire removes the targets whose grace period has ended, and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	var expired []string
	for id, until := range r.missing {
		if !now.Before(until) {
			expired = append(expired, id)
			delete(r.targets, id)
			delete(r.missing, id)
		}
	}
	return expired
}

// Targets returns a copy of all targets by ID.
func (r *Registry) Targets() map[string]Target {
	out := make(map[string]Target, len(r.targets))
	for id, t := range r.targets {
		out[id] = t
	}
	return out
}
