package routing

import "time"

// Target is a process that runs requests of one service, as it is registered.
type Target struct {
	// ID is unique among starts, unless Born differs.
	ID string
	// StartedUnixMilli is the start of the process, in milliseconds of the Unix epoch by its own clock. It only
	// tells starts of one ID apart.
	StartedUnixMilli int64
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
}

// Registry keeps the registered targets through outages of the store, in which entries lapse although
// their targets live.
type Registry struct {
	targets map[string]Target
	// missing are targets whose entries went away, and until when they are still used.
	missing map[string]time.Time
	// graceUntil is the time until which an entry that goes away is not yet believed.
	graceUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]Target{}, missing: map[string]time.Time{}}
}

// StoreRecovered says that the store answers again after an outage. Entries that lapsed in it are
// missing for the grace period before their targets are taken as gone.
func (r *Registry) StoreRecovered(now time.Time, grace time.Duration) {
	r.graceUntil = now.Add(grace)
}

// Put adds or replaces a target.
func (r *Registry) Put(t Target) {
	r.targets[t.ID] = t
	delete(r.missing, t.ID)
}

// Remove takes a target out whose entry was deleted, at once or at the end of the grace period.
func (r *Registry) Remove(now time.Time, id string) {
	if _, known := r.targets[id]; !known {
		return
	}
	if now.Before(r.graceUntil) {
		if _, waiting := r.missing[id]; !waiting {
			r.missing[id] = r.graceUntil
		}
		return
	}
	delete(r.targets, id)
	delete(r.missing, id)
}

// Replace takes over a whole reading of the registry.
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

// Expire removes the targets whose grace period is over, and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	var gone []string
	for id, until := range r.missing {
		if !now.Before(until) {
			gone = append(gone, id)
			delete(r.targets, id)
			delete(r.missing, id)
		}
	}
	return gone
}

// Targets returns a copy of all targets by ID.
func (r *Registry) Targets() map[string]Target {
	out := make(map[string]Target, len(r.targets))
	for id, t := range r.targets {
		out[id] = t
	}
	return out
}
