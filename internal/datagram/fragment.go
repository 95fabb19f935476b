package datagram

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxFragment is the largest packet that is sent, in bytes: it fits the usual MTU with all headers.
	maxFragment = 1200
	// headerBytes is the fragment header: the message's ID, the fragment's index and the number of fragments.
	headerBytes = 8 + 1 + 1
	// maxFragments bounds the fragments of one message, as they are counted in a byte.
	maxFragments = 255
	// reassemblyTimeout is how long the fragments of an incomplete message are kept.
	reassemblyTimeout = 2 * time.Second
	// maxPartial bounds the incomplete messages in memory.
	maxPartial = 1024
)

// fragment cuts a message into packets. A message that is too large is cut short, and cannot be decoded.
func fragment(id uint64, content []byte) [][]byte {
	const room = maxFragment - headerBytes
	count := min((len(content)+room-1)/room, maxFragments)
	packets := make([][]byte, 0, count)
	for i := range count {
		part := content[i*room : min((i+1)*room, len(content))]
		packet := binary.BigEndian.AppendUint64(make([]byte, 0, headerBytes+len(part)), id)
		packet = append(packet, byte(i), byte(count))
		packets = append(packets, append(packet, part...))
	}
	return packets
}

type partialKey struct {
	from netip.AddrPort
	id   uint64
}

type partialMessage struct {
	parts   [][]byte
	missing int
	since   time.Time
}

// reassembly joins the fragments of messages.
type reassembly struct {
	mu      sync.Mutex
	partial map[partialKey]*partialMessage
}

func newReassembly() *reassembly {
	return &reassembly{partial: map[partialKey]*partialMessage{}}
}

// add takes one packet, and returns the whole message with its last fragment. It copies what it keeps.
func (r *reassembly) add(from netip.AddrPort, packet []byte, now time.Time) ([]byte, bool) {
	if len(packet) < headerBytes {
		return nil, false
	}
	id, index, count := binary.BigEndian.Uint64(packet), int(packet[8]), int(packet[9])
	part := append([]byte(nil), packet[headerBytes:]...)
	if count == 1 {
		return part, true
	}
	if index >= count {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := partialKey{from, id}
	m := r.partial[key]
	if m == nil {
		r.expire(now)
		m = &partialMessage{parts: make([][]byte, count), missing: count, since: now}
		r.partial[key] = m
	}
	if len(m.parts) != count || m.parts[index] != nil {
		return nil, false
	}
	m.parts[index] = part
	if m.missing--; m.missing > 0 {
		return nil, false
	}
	delete(r.partial, key)
	var content []byte
	for _, p := range m.parts {
		content = append(content, p...)
	}
	return content, true
}

func (r *reassembly) expire(now time.Time) {
	for key, m := range r.partial {
		if now.Sub(m.since) > reassemblyTimeout || len(r.partial) >= maxPartial {
			delete(r.partial, key)
		}
	}
}
