// Package text generates the deterministic completions of the stand-in engines.
//
// Each token depends only on the text before it, so that a completion resumed at any token yields the same
// full text as an uninterrupted one.
package text

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// EndToken is the last token of a completion that ends before its token limit.
	EndToken = "done."
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 16
)

var vocabulary = []string{
	"pump", "valve", "belt", "tractor", "field", "crew", "route", "north", "bridge", "oil", "filter", "engine",
	"room", "clue", "lock", "key", "clock", "door", "mirror", "lamp", "guide", "team", "slot", "hour",
	"check", "turn", "drain", "replace", "call", "open", "close", "find", "confirm", "wait", "start", "stop",
}

// Generator generates the tokens that follow a text.
type Generator struct {
	digest     *xxhash.Digest
	meanLength uint64
	ignoreEnd  bool
	ended      bool
}

// NewGenerator returns a Generator that continues text. meanLength is the mean length of a completion in tokens;
// with ignoreEnd the completion never ends.
func NewGenerator(text string, meanLength int, ignoreEnd bool) *Generator {
	g := &Generator{digest: xxhash.New(), meanLength: uint64(max(meanLength, 1)), ignoreEnd: ignoreEnd}
	_, _ = g.digest.WriteString(text)
	g.ended = !ignoreEnd && strings.HasSuffix(text, EndToken)
	return g
}

// Next returns the next token, or false at the end of the completion.
func (g *Generator) Next() (string, bool) {
	if g.ended {
		return "", false
	}
	token := g.tokenFor(g.digest.Sum64())
	_, _ = g.digest.WriteString(token)
	return token, true
}

// Ended reports whether the completion has reached its end.
func (g *Generator) Ended() bool { return g.ended }

func (g *Generator) tokenFor(hash uint64) string {
	if !g.ignoreEnd && hash%g.meanLength == 0 {
		g.ended = true
		return EndToken
	}
	return vocabulary[(hash>>32)%uint64(len(vocabulary))] + " "
}

// Tokens returns the number of tokens of a text. Each word is one token.
func Tokens(text string) int { return len(strings.Fields(text)) }

// PrefixBlocks returns one hash for each full block of a text's tokens. Each hash covers the text up to
// the end of its block: it is the xxHash64 of the previous hash (8 bytes, little endian; zero for the first
// block) and the block's words, joined by spaces.
func PrefixBlocks(text string) []uint64 {
	words := strings.Fields(text)
	blocks := make([]uint64, 0, len(words)/BlockTokens)
	var previous uint64
	for ; len(words) >= BlockTokens; words = words[BlockTokens:] {
		previous = chainHash(previous, words[:BlockTokens])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chainHash(previous uint64, words []string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(strings.Join(words, " "))
	return digest.Sum64()
}
