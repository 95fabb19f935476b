package account

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
)

// Digest is the SHA-256 digest of an API key. Keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in hexadecimal, and reports whether it is one.
func ParseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, false
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, false
	}
	return d, true
}

// KeyIndex finds the owners of API keys. Each key has one owner.
type KeyIndex[T any] struct{ owners map[Digest]*T }

// NewKeyIndex returns an empty index.
func NewKeyIndex[T any]() KeyIndex[T] { return KeyIndex[T]{owners: map[Digest]*T{}} }

// Add adds a key. If the key has an owner already, it changes nothing and returns that.
func (i KeyIndex[T]) Add(key Digest, owner *T) (other *T) {
	if other = i.owners[key]; other == nil {
		i.owners[key] = owner
	}
	return other
}

// Remove removes a key.
func (i KeyIndex[T]) Remove(key Digest) { delete(i.owners, key) }

// Find returns the owner of a key.
func (i KeyIndex[T]) Find(key Digest) (*T, bool) {
	owner, ok := i.owners[key]
	return owner, ok
}

// Clone returns a copy of the index with the same owners.
func (i KeyIndex[T]) Clone() KeyIndex[T] { return KeyIndex[T]{owners: maps.Clone(i.owners)} }
