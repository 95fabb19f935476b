package callerapi

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBlockBytes is the size of one block of a prompt.
	prefixBlockBytes = 256
	// maxPrefixBlocks is the maximum number of blocks that are hashed.
	maxPrefixBlocks = 32
)

// prefixBlocks returns the hashes of the prompt's leading blocks: the hash at index i covers the first
// i+1 blocks. Prompts with a common prefix have the same leading hashes.
func prefixBlocks(prompt []byte) []uint64 {
	var blocks []uint64
	digest := xxhash.New()
	for len(prompt) >= prefixBlockBytes && len(blocks) < maxPrefixBlocks {
		_, _ = digest.Write(prompt[:prefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return blocks
}
