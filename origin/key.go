package origin

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxKeyBytes bounds the names of attempts in memory, in messages and in the store.
const maxKeyBytes = 64

// Key returns the name under which the origin of an attempt is kept. Clients choose the IDs of attempts, which may be as long as the head
// of a request; a long one is replaced by its digest.
func Key(attempt string) string {
	if len(attempt) <= maxKeyBytes {
		return attempt
	}
	digest := sha256.Sum256([]byte(attempt))
	return hex.EncodeToString(digest[:])
}
