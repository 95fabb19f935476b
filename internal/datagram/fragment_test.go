package datagram

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Fragments of several messages arrive interleaved, in any order; some are lost.
func TestReassemblyOfReorderedAndLostFragments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReassembly()
		from := netip.MustParseAddrPort("10.0.0.1:1")
		now := time.Unix(1000, 0)
		type packet struct {
			message int
			content []byte
		}
		var messages [][]byte
		var packets []packet
		for i := range rapid.IntRange(1, 5).Draw(t, "messages") {
			content := rapid.SliceOfN(rapid.Byte(), 1, 4000).Draw(t, "content")
			messages = append(messages, content)
			for _, p := range fragment(uint64(i), content) {
				packets = append(packets, packet{i, p})
			}
		}
		sent := map[int]int{}
		lost := map[int]bool{}
		completions := map[int]int{}
		for _, p := range rapid.Permutation(packets).Draw(t, "order") {
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				lost[p.message] = true
				continue
			}
			sent[p.message]++
			if content, ok := r.add(from, p.content, now); ok {
				completions[p.message]++
				if !bytes.Equal(content, messages[p.message]) {
					t.Fatalf("message %d differs", p.message)
				}
			}
		}
		for i := range messages {
			if want := !lost[i]; (completions[i] == 1) != want {
				t.Fatalf("message %d: completed %d times, fragment lost %v", i, completions[i], lost[i])
			}
		}
	})
}

func FuzzReassembly(f *testing.F) {
	f.Add([]byte("0123456789"))
	f.Fuzz(func(_ *testing.T, packet []byte) {
		r := newReassembly()
		r.add(netip.MustParseAddrPort("10.0.0.1:1"), packet, time.Unix(0, 0))
		r.add(netip.MustParseAddrPort("10.0.0.1:1"), packet, time.Unix(9, 0))
	})
}

// Incomplete messages took up to 300 MB: only their number was bounded.
func TestIncompleteMessagesAreBoundedInBytes(t *testing.T) {
	r := newReassembly()
	from := netip.MustParseAddrPort("127.0.0.1:9")
	packet := make([]byte, maxFragmentBytes)
	now := time.Unix(1, 0)
	for id := range uint64(200) {
		binary.BigEndian.PutUint64(packet, id)
		packet[9] = maxFragments
		for i := range maxFragments - 1 {
			packet[8] = byte(i)
			_, complete := r.add(from, packet, now)
			qt.Assert(t, complete, qt.IsFalse)
		}
	}
	held := 0
	for _, m := range r.incomplete {
		for _, part := range m.parts {
			held += len(part)
		}
	}
	qt.Assert(t, held <= maxPartialBytes, qt.IsTrue, qt.Commentf("%d bytes", held))
	// The last message is still completed.
	packet[8] = maxFragments - 1
	_, complete := r.add(from, packet, now)
	qt.Assert(t, complete, qt.IsTrue)
}
