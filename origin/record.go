package origin

import (
	"slices"
	"strings"
	"time"
)

// Record lists the versions of a service at which a stream that can still be resumed may have begun. It is kept in the
// store, because after a loss of all VMs nobody else knows.
type Record struct {
	Versions []Served `cbor:"1,keyasint"`
}

// Served is a version that has served.
type Served struct {
	Version string `cbor:"1,keyasint"`
	// AddedAt is when the version was recorded, on the store's clock. No stream began there before.
	AddedAt time.Duration `cbor:"3,keyasint,omitempty"`
	// GoneAt is when the last target of the version was found gone, on the store's clock. It is zero while some are registered.
	GoneAt time.Duration `cbor:"2,keyasint,omitempty"`
}

// Live returns the versions that are recorded as serving.
func (r Record) Live() []string {
	var live []string
	for _, v := range r.Versions {
		if v.GoneAt == 0 {
			live = append(live, v.Version)
		}
	}
	return live
}

// SoleBefore returns the only version at which a stream may have begun before a time, if there is one. Both times are on
// the store's clock.
func (r Record) SoleBefore(before, now time.Duration) (string, bool) {
	older := slices.DeleteFunc(r.without(now), func(v Served) bool { return v.AddedAt > before })
	if len(older) != 1 {
		return "", false
	}
	return older[0].Version, true
}

// Update returns the record after versions were registered and others were found gone, and reports whether it differs.
func (r Record) Update(now time.Duration, registered, gone []string) (Record, bool) {
	updated := Record{Versions: r.without(now)}
	for i, v := range updated.Versions {
		switch {
		case slices.Contains(registered, v.Version):
			updated.Versions[i].GoneAt = 0
		case v.GoneAt == 0 && slices.Contains(gone, v.Version):
			updated.Versions[i].GoneAt = max(now, 1)
		}
	}
	for _, version := range registered {
		if !slices.ContainsFunc(updated.Versions, func(v Served) bool { return v.Version == version }) {
			updated.Versions = append(updated.Versions, Served{Version: version, AddedAt: max(now, 1)})
		}
	}
	slices.SortFunc(updated.Versions, func(a, b Served) int { return strings.Compare(a.Version, b.Version) })
	return updated, !slices.Equal(updated.Versions, r.Versions)
}

// without returns a copy of the versions without those that are gone for longer than Retention.
func (r Record) without(now time.Duration) []Served {
	return slices.DeleteFunc(slices.Clone(r.Versions), func(v Served) bool { return v.GoneAt != 0 && now-v.GoneAt > Retention })
}
