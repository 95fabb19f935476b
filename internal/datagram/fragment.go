package datagram

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxFragmentBytes is the largest packet that is sent: with all headers it fits the usual MTU of 1500 bytes.
	maxFragmentBytes = 1200
	// headerBytes is the size of a fragment's header: message ID, fragment index, number of fragments.
	headerBytes = 8 + 1 + 1
	// maxFragments bounds the fragments of one message: the header counts them in one byte.
	maxFragments = 255
	// reassemblyTimeout is how long the fragments of an incomplete message are kept.
	reassemblyTimeout = 2 * time.Second
	// maxPartialMessages bounds the incomplete messages in memory: a further one evicts arbitrary others.
	maxPartialMessages = 1024
)

// fragment splits a message into packets. A message that needs more than maxFragments packets is truncated, and
// the receiver cannot decode it.
func fragment(id uint64, content []byte) [][]byte {
	const payloadBytes = maxFragmentBytes - headerBytes
	count := min((len(content)+payloadBytes-1)/payloadBytes, maxFragments)
	packets := make([][]byte, 0, count)
	for i := range count {
		part := content[i*payloadBytes : min((i+1)*payloadBytes, len(content))]
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
	parts     [][]byte
	missing   int
	startedAt time.Time
}

// reassembly reassembles messages from their fragments.
type reassembly struct {
	mu         sync.Mutex
	incomplete map[partialKey]*partialMessage
}

func newReassembly() *reassembly {
	return &reassembly{incomplete: map[partialKey]*partialMessage{}}
}

// add processes one packet, and returns the message once its last fragment has arrived. It does not retain packet.
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
	m := r.incomplete[key]
	if m == nil {
		r.expire(now)
		m = &partialMessage{parts: make([][]byte, count), missing: count, startedAt: now}
		r.incomplete[key] = m
	}
	if len(m.parts) != count || m.parts[index] != nil {
		return nil, false
	}
	m.parts[index] = part
	if m.missing--; m.missing > 0 {
		return nil, false
	}
	delete(r.incomplete, key)
	var content []byte
	for _, p := range m.parts {
		content = append(content, p...)
	}
	return content, true
}

func (r *reassembly) expire(now time.Time) {
	for key, m := range r.incomplete {
		if now.Sub(m.startedAt) > reassemblyTimeout || len(r.incomplete) >= maxPartialMessages {
			delete(r.incomplete, key)
		}
	}
}
