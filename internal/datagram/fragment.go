package datagram

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// partialDropped counts incomplete messages that were dropped because all took too much memory.
var partialDropped = metrics.NewCounter(`rosemarydyke_datagram_partial_messages_dropped_total`)

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
	// maxPartialBytes bounds the memory of the incomplete messages.
	maxPartialBytes = 8 << 20
	// fragmentOverhead is what a fragment takes beside its content.
	fragmentOverhead = 48
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
	bytes     int
}

// reassembly reassembles messages from their fragments.
type reassembly struct {
	mu         sync.Mutex
	incomplete map[partialKey]*partialMessage
	// bytes is the memory that the incomplete messages take.
	bytes int
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
	if count == 1 {
		return append([]byte(nil), packet[headerBytes:]...), true
	}
	if index >= count {
		return nil, false
	}
	part := append([]byte(nil), packet[headerBytes:]...)
	r.mu.Lock()
	defer r.mu.Unlock()
	key := partialKey{from, id}
	m := r.incomplete[key]
	if m == nil {
		r.expire(now)
		m = &partialMessage{parts: make([][]byte, count), missing: count, startedAt: now}
		r.incomplete[key] = m
		r.charge(m, count*fragmentOverhead)
	}
	if len(m.parts) != count || m.parts[index] != nil {
		return nil, false
	}
	m.parts[index] = part
	r.charge(m, len(part))
	if m.missing--; m.missing > 0 {
		r.makeRoom(key)
		return nil, false
	}
	r.drop(key)
	var content []byte
	for _, p := range m.parts {
		content = append(content, p...)
	}
	return content, true
}

func (r *reassembly) charge(m *partialMessage, bytes int) {
	m.bytes += bytes
	r.bytes += bytes
}

func (r *reassembly) drop(key partialKey) {
	r.bytes -= r.incomplete[key].bytes
	delete(r.incomplete, key)
}

func (r *reassembly) expire(now time.Time) {
	for key, m := range r.incomplete {
		if now.Sub(m.startedAt) > reassemblyTimeout || len(r.incomplete) >= maxPartialMessages {
			r.drop(key)
		}
	}
}

// makeRoom drops arbitrary other messages while all take too much memory.
func (r *reassembly) makeRoom(kept partialKey) {
	if r.bytes <= maxPartialBytes {
		return
	}
	for key := range r.incomplete {
		if key == kept {
			continue
		}
		partialDropped.Inc()
		r.drop(key)
		if r.bytes <= maxPartialBytes {
			return
		}
	}
}
