// Package datagram carries messages between our processes over plain UDP: messages without an
// answer, and calls, which are repeated until they are answered and run once for each process that
// is called.
//
// No connection is kept, so there is none that can fall silent. Messages are encoded as CBOR, and
// those that are larger than a packet are sent in fragments.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

const (
	// callInterval is the time between two sends of an unanswered call: many round trips between
	// availability zones, and short beside the latency objective of a request.
	callInterval = 60 * time.Millisecond
	// readBuffer is the size of the socket's receive buffer, in bytes.
	readBuffer = 1 << 20
	// maxPacket is the largest UDP payload that is read, in bytes.
	maxPacket = 2048
)

// kind says what a message is.
type kind uint8

const (
	kindMessage kind = iota + 1
	kindCall
	kindAnswer
	kindFailure
)

// envelope is a message on the wire.
type envelope struct {
	Kind   kind        `cbor:"1,keyasint"`
	From   string      `cbor:"2,keyasint"`
	Method peer.Method `cbor:"3,keyasint,omitempty"`
	// Call matches answers to calls.
	Call    uint64          `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// MessageHandler handles one message. It must not block.
type MessageHandler func(from peer.Identity, decode func(message any) error)

// Node is one process's end of the transport. Its methods are safe for concurrent use once it is started.
type Node struct {
	vm   string
	log  zerolog.Logger
	conn *net.UDPConn
	done chan struct{}
	// closing guards done.
	closing sync.Once

	calls    map[peer.Method]peer.CallHandler
	messages map[peer.Method]MessageHandler

	nextCall atomic.Uint64
	nextID   atomic.Uint64
	mu       sync.Mutex
	open     map[uint64]chan envelope
	served   *servedCalls
	partial  *reassembly
}

// methodDatagram is the method of SendDatagram.
const methodDatagram peer.Method = "datagram"

// Listen opens the node's UDP socket. Handlers are registered next, then Start reads messages.
func Listen(address, vm string, log zerolog.Logger) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if err := conn.SetReadBuffer(readBuffer); err != nil {
		log.Warn().Err(err).Msg("receive buffer of the peer socket keeps its size")
	}
	n := &Node{
		vm:       vm,
		log:      log,
		conn:     conn,
		done:     make(chan struct{}),
		calls:    map[peer.Method]peer.CallHandler{},
		messages: map[peer.Method]MessageHandler{},
		open:     map[uint64]chan envelope{},
		served:   newServedCalls(),
		partial:  newReassembly(),
	}
	// Answers to calls of an earlier start of the process must not match.
	n.nextCall.Store(rand.Uint64())
	n.nextID.Store(rand.Uint64())
	return n, nil
}

// Address returns the address on which the node listens.
func (n *Node) Address() netip.AddrPort { return n.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// HandleCall registers the handler of a call. It must be called before Start.
func (n *Node) HandleCall(method peer.Method, handler peer.CallHandler) { n.calls[method] = handler }

// HandleMessage registers the handler of a message. It must be called before Start.
func (n *Node) HandleMessage(method peer.Method, handler MessageHandler) {
	n.messages[method] = handler
}

// HandleDatagram registers the handler of datagrams. It must be called before Start.
func (n *Node) HandleDatagram(handler peer.DatagramHandler) {
	n.HandleMessage(methodDatagram, func(from peer.Identity, decode func(any) error) {
		var payload []byte
		if err := decode(&payload); err != nil {
			n.log.Warn().Err(err).Str("from", from.VM).Msg("datagram cannot be decoded")
			return
		}
		handler(from, payload)
	})
}

// Start reads messages until Close.
func (n *Node) Start() { go n.read() }

// Close closes the socket, and ends the calls in progress.
func (n *Node) Close() error {
	n.closing.Do(func() { close(n.done) })
	return n.conn.Close()
}

// Verify does nothing: there are no connections to check.
func (n *Node) Verify(netip.AddrPort) {}

// SendDatagram sends payload once.
func (n *Node) SendDatagram(to netip.AddrPort, payload []byte) error {
	return n.Send(to, methodDatagram, payload)
}

// Send sends a message once. It may be lost, repeated or overtaken.
func (n *Node) Send(to netip.AddrPort, method peer.Method, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message %s: %w", method, err)
	}
	return n.send(to, envelope{Kind: kindMessage, Method: method, Payload: payload})
}

// Call sends a request until it is answered or ctx ends. It fails with *peer.RemoteError when the
// handler failed, and with *peer.UnansweredError when no answer came.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request %s: %w", method, err)
	}
	call := envelope{Kind: kindCall, Method: method, Call: n.nextCall.Add(1), Payload: payload}
	answers := make(chan envelope, 1)
	n.mu.Lock()
	n.open[call.Call] = answers
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.open, call.Call)
		n.mu.Unlock()
	}()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		if err := n.send(to, call); err != nil {
			return &peer.UnansweredError{Sent: true, Cause: err}
		}
		select {
		case answer := <-answers:
			return decodeAnswer(answer, response)
		case <-ctx.Done():
			return &peer.UnansweredError{Sent: true, Cause: ctx.Err()}
		case <-n.done:
			return &peer.UnansweredError{Sent: true, Cause: peer.ErrClosed}
		case <-ticker.C:
		}
	}
}

func decodeAnswer(answer envelope, response any) error {
	if answer.Kind == kindFailure {
		var failure peer.RemoteError
		if err := cbor.Unmarshal(answer.Payload, &failure); err != nil {
			return fmt.Errorf("decode failure: %w", err)
		}
		return &failure
	}
	if err := cbor.Unmarshal(answer.Payload, response); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func (n *Node) send(to netip.AddrPort, message envelope) error {
	message.From = n.vm
	content, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode envelope: %w", err)
	}
	for _, packet := range fragment(n.nextID.Add(1), content) {
		if _, err := n.conn.WriteToUDPAddrPort(packet, to); err != nil {
			return fmt.Errorf("send to %s: %w", to, err)
		}
	}
	return nil
}

func (n *Node) read() {
	buffer := make([]byte, maxPacket)
	for {
		length, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error of an earlier send is reported here, and concerns that send only.
			n.log.Debug().Err(err).Msg("peer socket reported an error")
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		content, whole := n.partial.add(from, buffer[:length], time.Now())
		if !whole {
			continue
		}
		var message envelope
		if err := cbor.Unmarshal(content, &message); err != nil {
			n.log.Warn().Err(err).Stringer("from", from).Msg("message cannot be decoded")
			continue
		}
		n.handle(from, message)
	}
}

func (n *Node) handle(from netip.AddrPort, message envelope) {
	identity := peer.Identity{VM: message.From, Address: from}
	decode := func(out any) error { return cbor.Unmarshal(message.Payload, out) }
	switch message.Kind {
	case kindMessage:
		if handler := n.messages[message.Method]; handler != nil {
			handler(identity, decode)
		}
	case kindCall:
		key := servedKey{from: from, call: message.Call}
		answer, repeated := n.served.begin(key, time.Now())
		if !repeated {
			go n.answer(key, identity, message, decode)
		} else if answer != nil {
			n.reply(from, *answer)
		}
	case kindAnswer, kindFailure:
		n.mu.Lock()
		answers := n.open[message.Call]
		n.mu.Unlock()
		if answers == nil {
			return
		}
		select {
		case answers <- message:
		default:
		}
	}
}

func (n *Node) answer(key servedKey, from peer.Identity, call envelope, decode func(any) error) {
	reply := envelope{Kind: kindAnswer, Call: call.Call}
	response, err := n.run(call.Method, from, decode)
	if err == nil {
		reply.Payload, err = cbor.Marshal(response)
	}
	if err != nil {
		reply.Kind = kindFailure
		failure := &peer.RemoteError{Code: peer.CodeFailed, Message: err.Error()}
		errors.As(err, &failure)
		reply.Payload, err = cbor.Marshal(failure)
		if err != nil {
			n.log.Error().Err(err).Msg("failure cannot be encoded")
			return
		}
	}
	n.served.end(key, reply)
	n.reply(key.from, reply)
}

func (n *Node) reply(to netip.AddrPort, reply envelope) {
	if err := n.send(to, reply); err != nil {
		n.log.Debug().Err(err).Stringer("to", to).Msg("answer not sent")
	}
}

func (n *Node) run(method peer.Method, from peer.Identity, decode func(any) error) (any, error) {
	handler := n.calls[method]
	if handler == nil {
		return nil, &peer.RemoteError{Code: peer.CodeUnknownMethod, Message: string(method)}
	}
	return handler(context.Background(), from, decode)
}
