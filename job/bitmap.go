package job

import "math/bits"

const bitsPerByte = 8

// Bitmap is a set of item indexes within a chunk.
type Bitmap []byte

// NewBitmap returns an empty set for n items.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+bitsPerByte-1)/bitsPerByte) }

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool {
	return i/bitsPerByte < len(b) && b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Set adds i to the set.
func (b Bitmap) Set(i int) { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Clear removes i from the set.
func (b Bitmap) Clear(i int) { b[i/bitsPerByte] &^= 1 << (i % bitsPerByte) }

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// Clone returns a copy.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }
