package quarantine

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Content identifies what a request consists of.
type Content struct {
	// Fingerprint identifies the whole of it; zero if it is unknown.
	Fingerprint uint64
	// Parts identify the parts of its prompt that other requests may have too, see PartFingerprint.
	Parts []uint64
}

// PartFingerprint returns the identity of a part of the prompts for a model.
func PartFingerprint(model, part string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(part)
	return digest.Sum64()
}

// PartFingerprints returns the identities of several parts.
func PartFingerprints(model string, parts []string) []uint64 {
	fingerprints := make([]uint64, len(parts))
	for i, part := range parts {
		fingerprints[i] = PartFingerprint(model, part)
	}
	return fingerprints
}

// PrefixFingerprint returns the identity of the parts that prompts for a model begin with, or zero if there are none.
func PrefixFingerprint(model string, parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	return PartFingerprint(model, strings.Join(parts, "\x00"))
}

// wholeBit marks the keys of whole contents. Keys of parts don't have it.
const wholeBit = 1 << 63

func isWhole(key uint64) bool { return key&wholeBit != 0 }

// wholeKey returns the key of the whole content, which only a repeat of the request shares.
func (c Content) wholeKey() uint64 { return c.Fingerprint | wholeBit }

// keys returns what the request may share with others that crash targets, in ascending order: its parts, and the whole of it.
func (c Content) keys() []uint64 {
	keys := c.partKeys()
	if c.Fingerprint != 0 {
		keys = append(keys, c.wholeKey())
	}
	return keys
}

func (c Content) partKeys() []uint64 {
	keys := make([]uint64, 0, len(c.Parts)+1)
	for _, part := range c.Parts {
		keys = append(keys, part&^wholeBit)
	}
	return sortedKeys(keys)
}

// sortedKeys sorts keys and removes repeated ones.
func sortedKeys(keys []uint64) []uint64 {
	slices.Sort(keys)
	return slices.Compact(keys)
}

// containsAll reports whether a request with these keys has all keys of a group. Both are sorted.
func containsAll(keys, group []uint64) bool {
	for _, key := range group {
		if _, found := slices.BinarySearchFunc(keys, key, cmp.Compare[uint64]); !found {
			return false
		}
	}
	return true
}

// Holds reports whether the content has all keys of a blamed group.
func (c Content) Holds(group []uint64) bool { return containsAll(c.keys(), group) }
