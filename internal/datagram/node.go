// Package datagram is a connectionless transport between processes of the system, over plain UDP: one-way
// messages, and calls, which are retransmitted until a response arrives and run once in each process that is
// called.
//
// There are no connections whose loss would have to be detected. Messages are encoded as CBOR, and those
// larger than a packet are fragmented.
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
	// callInterval is the retransmission interval of a call: many round trips between availability zones,
	// and short compared to the latency objective of a request.
	callInterval = 60 * time.Millisecond
	// readBufferBytes is the size of the socket's receive buffer.
	readBufferBytes = 1 << 20
	// maxPacketBytes is the largest UDP payload that is read.
	maxPacketBytes = 2048
)

// kind is the type of a message.
type kind uint8

const (
	kindMessage kind = iota + 1
	kindCall
	kindResponse
	kindError
)

// envelope is a message on the wire.
type envelope struct {
	Kind   kind        `cbor:"1,keyasint"`
	From   string      `cbor:"2,keyasint"`
	Method peer.Method `cbor:"3,keyasint,omitempty"`
	// Call is the ID that matches a response to its call.
	Call    uint64          `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// MessageHandler handles one message. It must not block.
type MessageHandler func(from peer.Identity, decode func(message any) error)

// Node is the transport endpoint of one process. Its methods are safe for concurrent use after Start.
type Node struct {
	vm   string
	log  zerolog.Logger
	conn *net.UDPConn
	done chan struct{}
	// closing ensures that done is closed only once.
	closing sync.Once

	calls    map[peer.Method]peer.CallHandler
	messages map[peer.Method]MessageHandler

	nextCallID    atomic.Uint64
	nextMessageID atomic.Uint64
	mu            sync.Mutex
	pending       map[uint64]chan envelope
	served        *servedCalls
	partial       *reassembly
}

// methodDatagram is the method of SendDatagram.
const methodDatagram peer.Method = "datagram"

// Listen opens the node's UDP socket. Register handlers before calling Start.
func Listen(address, vm string, log zerolog.Logger) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if err := conn.SetReadBuffer(readBufferBytes); err != nil {
		log.Warn().Err(err).Msg("receive buffer of the peer socket not resized; messages may be lost in bursts")
	}
	n := &Node{
		vm:       vm,
		log:      log,
		conn:     conn,
		done:     make(chan struct{}),
		calls:    map[peer.Method]peer.CallHandler{},
		messages: map[peer.Method]MessageHandler{},
		pending:  map[uint64]chan envelope{},
		served:   newServedCalls(),
		partial:  newReassembly(),
	}
	// Random start values, so that responses to calls of a previous run of the process do not match.
	n.nextCallID.Store(rand.Uint64())
	n.nextMessageID.Store(rand.Uint64())
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
			n.log.Warn().Err(err).Str("from", from.VM).Msg("datagram not decoded, dropped")
			return
		}
		handler(from, payload)
	})
}

// Start reads messages until Close.
func (n *Node) Start() { go n.read() }

// Close closes the socket and fails the calls in progress.
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

// Send sends a message once. It may be lost, duplicated or reordered.
func (n *Node) Send(to netip.AddrPort, method peer.Method, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message %s: %w", method, err)
	}
	_, err = n.send(to, envelope{Kind: kindMessage, Method: method, Payload: payload})
	return err
}

// Call retransmits a request until a response arrives or ctx ends. It returns *peer.RemoteError if the
// handler failed, and *peer.UnansweredError if no response arrived.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request %s: %w", method, err)
	}
	call := envelope{Kind: kindCall, Method: method, Call: n.nextCallID.Add(1), Payload: payload}
	responses := make(chan envelope, 1)
	n.mu.Lock()
	n.pending[call.Call] = responses
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pending, call.Call)
		n.mu.Unlock()
	}()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for sent := false; ; sent = true {
		if anySent, err := n.send(to, call); err != nil {
			return &peer.UnansweredError{Sent: sent || anySent, Cause: err}
		}
		select {
		case reply := <-responses:
			return decodeResponse(reply, response)
		case <-ctx.Done():
			return &peer.UnansweredError{Sent: true, Cause: ctx.Err()}
		case <-n.done:
			return &peer.UnansweredError{Sent: true, Cause: peer.ErrClosed}
		case <-ticker.C:
		}
	}
}

func decodeResponse(reply envelope, response any) error {
	if reply.Kind == kindError {
		var failure peer.RemoteError
		if err := cbor.Unmarshal(reply.Payload, &failure); err != nil {
			return fmt.Errorf("decode error response: %w", err)
		}
		return &failure
	}
	if err := cbor.Unmarshal(reply.Payload, response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// send sends a message in one or more packets, and reports whether any of them was sent.
func (n *Node) send(to netip.AddrPort, message envelope) (anySent bool, err error) {
	message.From = n.vm
	content, err := cbor.Marshal(message)
	if err != nil {
		return false, fmt.Errorf("encode envelope: %w", err)
	}
	for _, packet := range fragment(n.nextMessageID.Add(1), content) {
		if _, err := n.conn.WriteToUDPAddrPort(packet, to); err != nil {
			return anySent, fmt.Errorf("send to %s: %w", to, err)
		}
		anySent = true
	}
	return true, nil
}

func (n *Node) read() {
	buffer := make([]byte, maxPacketBytes)
	for {
		length, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error caused by an earlier send is reported here; it affects only that send.
			n.log.Debug().Err(err).Msg("read from the peer socket failed, continuing")
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		content, complete := n.partial.add(from, buffer[:length], time.Now())
		if !complete {
			continue
		}
		var message envelope
		if err := cbor.Unmarshal(content, &message); err != nil {
			n.log.Warn().Err(err).Stringer("from", from).Msg("message not decoded, dropped")
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
		response, repeated := n.served.begin(key, time.Now())
		if !repeated {
			go n.serveCall(key, identity, message, decode)
		} else if response != nil {
			n.sendResponse(from, *response)
		}
	case kindResponse, kindError:
		n.mu.Lock()
		responses := n.pending[message.Call]
		n.mu.Unlock()
		if responses == nil {
			return
		}
		select {
		case responses <- message:
		default:
		}
	}
}

func (n *Node) serveCall(key servedKey, from peer.Identity, call envelope, decode func(any) error) {
	reply := envelope{Kind: kindResponse, Call: call.Call}
	response, err := n.runHandler(call.Method, from, decode)
	if err == nil {
		reply.Payload, err = cbor.Marshal(response)
	}
	if err != nil {
		reply.Kind = kindError
		failure := &peer.RemoteError{Code: peer.CodeFailed, Message: err.Error()}
		errors.As(err, &failure)
		reply.Payload, err = cbor.Marshal(failure)
		if err != nil {
			n.log.Error().Err(err).Msg("error response not encoded; the caller gets no response")
			return
		}
	}
	n.served.end(key, reply)
	n.sendResponse(key.from, reply)
}

func (n *Node) sendResponse(to netip.AddrPort, reply envelope) {
	if _, err := n.send(to, reply); err != nil {
		n.log.Debug().Err(err).Stringer("to", to).Msg("response not sent")
	}
}

func (n *Node) runHandler(method peer.Method, from peer.Identity, decode func(any) error) (any, error) {
	handler := n.calls[method]
	if handler == nil {
		return nil, &peer.RemoteError{Code: peer.CodeUnknownMethod, Message: string(method)}
	}
	return handler(context.Background(), from, decode)
}
