package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blame is a group of keys whose requests crash targets.
type blame struct {
	// keys is sorted.
	keys []uint64
	// crashedAt is the last crash that the group was blamed for.
	crashedAt time.Time
	// times is how often the group was blamed.
	times int
	// until is when requests that hold the group run again.
	until time.Time
}

func groupHash(keys []uint64) uint64 {
	digest := xxhash.New()
	for _, key := range keys {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, key))
	}
	return digest.Sum64()
}

// addBlame blames a group for crashes, the last of which was at crashedAt. The other VMs learn of it.
func (a *attribution) addBlame(crashedAt time.Time, keys []uint64) {
	b := &blame{keys: keys}
	a.blames[groupHash(keys)] = b
	a.evictBlames()
	a.extend(crashedAt, b, 1)
	a.reportBlame(b)
}

func (a *attribution) evictBlames() {
	for len(a.blames) > a.config.MaxBlames {
		var oldest *blame
		for _, b := range a.blames {
			if oldest == nil || b.crashedAt.Before(oldest.crashedAt) {
				oldest = b
			}
		}
		delete(a.blames, groupHash(oldest.keys))
	}
}

func (a *attribution) extend(crashedAt time.Time, b *blame, times int) {
	term := min(a.config.FirstTerm<<min(times-1, 20), a.config.MaxTerm)
	b.times, b.crashedAt = times, crashedAt
	b.until = crashedAt.Add(term + time.Duration(a.config.Random()*float64(term)))
}

// renewBlame reports whether a blamed group explains a crash. One that ran again after its term is blamed anew.
func (a *attribution) renewBlame(at time.Time, keys []uint64) bool {
	explained := false
	for _, b := range a.blames {
		if !containsAll(keys, b.keys) {
			continue
		}
		explained = true
		// Runs that were in progress when the group was blamed don't count again.
		if at.Sub(b.crashedAt) >= a.config.FirstTerm/2 {
			a.extend(at, b, b.times+1)
			a.reportBlame(b)
		}
	}
	return explained
}

// clearBlame removes a key from the blamed groups, because a request that holds it was answered. It returns the IDs of the
// groups that end.
func (a *attribution) clearBlame(key uint64) []uint64 {
	var ended []uint64
	for hash, b := range a.blames {
		if !slices.Contains(b.keys, key) {
			continue
		}
		delete(a.blames, hash)
		ended = append(ended, hash)
		rest := slices.DeleteFunc(slices.Clone(b.keys), func(k uint64) bool { return k == key })
		if len(rest) > 0 {
			narrowed := *b
			narrowed.keys = rest
			a.blames[groupHash(rest)] = &narrowed
			a.reportBlame(&narrowed)
			a.removeExplained(rest)
		}
	}
	return ended
}

// blocked returns the time until which a request that holds a blamed group is not run, and whether there is one.
func (a *attribution) blocked(now time.Time, keys []uint64) (time.Time, bool) {
	var until time.Time
	for _, b := range a.blames {
		if now.Before(b.until) && b.until.After(until) && containsAll(keys, b.keys) {
			until = b.until
		}
	}
	return until, !until.IsZero()
}

func (a *attribution) blockedGroups(now time.Time) [][]uint64 {
	var groups [][]uint64
	for _, b := range a.blames {
		if now.Before(b.until) {
			groups = append(groups, b.keys)
		}
	}
	slices.SortFunc(groups, slices.Compare)
	return groups
}

// sweep removes blamed groups that have not crashed a target for long, and what other VMs reported long ago.
func (a *attribution) sweep(now time.Time) {
	for hash, b := range a.blames {
		if now.Sub(b.crashedAt) >= 2*a.config.MaxTerm {
			delete(a.blames, hash)
		}
	}
	for vm, peer := range a.peerRates {
		if now.Sub(peer.at) >= a.config.RateWindow {
			delete(a.peerRates, vm)
		}
	}
}
