// Package text makes the stand-in engines' deterministic completions.
//
// Each token depends only on the text before it, so that a completion that is resumed from any part of
// itself ends as the same whole text as one that was never interrupted.
package text

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// EndToken is the last token of a completion that was not cut short by its token limit.
	EndToken = "done."
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 16
)

var vocabulary = []string{
	"pump", "valve", "belt", "tractor", "field", "crew", "route", "north", "bridge", "oil", "filter", "engine",
	"room", "clue", "lock", "key", "clock", "door", "mirror", "lamp", "guide", "team", "slot", "hour",
	"check", "turn", "drain", "replace", "call", "open", "close", "find", "confirm", "wait", "start", "stop",
}

// Generator makes the tokens that follow a text.
type Generator struct {
	digest     *xxhash.Digest
	meanLength uint64
	ignoreEnd  bool
	ended      bool
}

// NewGenerator returns a Generator that continues text. The mean length of a completion is in tokens;
// ignoreEnd makes it endless.
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
	token := g.pick(g.digest.Sum64())
	_, _ = g.digest.WriteString(token)
	return token, true
}

// Ended reports whether the completion has reached its end.
func (g *Generator) Ended() bool { return g.ended }

func (g *Generator) pick(hash uint64) string {
	if !g.ignoreEnd && hash%g.meanLength == 0 {
		g.ended = true
		return EndToken
	}
	return vocabulary[(hash>>32)%uint64(len(vocabulary))] + " "
}

// Tokens counts the tokens of a text: its words.
func Tokens(text string) int { return len(strings.Fields(text)) }

// PrefixBlocks returns one hash for each whole block of a text's tokens. Each hash covers the text up to
// the end of its block: xxHash64 of the previous hash (8 bytes, little endian; zero at first) and the
// block's words, joined by spaces.
func PrefixBlocks(text string) []uint64 {
	words := strings.Fields(text)
	blocks := make([]uint64, 0, len(words)/BlockTokens)
	var previous uint64
	for ; len(words) >= BlockTokens; words = words[BlockTokens:] {
		previous = chain(previous, words[:BlockTokens])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chain(previous uint64, words []string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(strings.Join(words, " "))
	return digest.Sum64()
}
