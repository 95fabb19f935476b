package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"
)

// connection is a QUIC connection to a peer.
type connection struct {
	quic *quic.Conn
	peer Identity
	// active counts calls and streams in both directions.
	active atomic.Int64
	// lastReceived is the time of the last received data, in nanoseconds since epoch.
	lastReceived atomic.Int64
	// checking is true while a health check runs.
	checking atomic.Bool

	mu sync.Mutex
	// reported is the traffic that is already counted in the metrics.
	reported quic.ConnectionStats
}

// epoch is the origin of the monotonic times in connection.lastReceived.
var epoch = time.Now()

func (c *connection) touch() { c.lastReceived.Store(int64(time.Since(epoch))) }

func (c *connection) idleTime() time.Duration {
	return time.Since(epoch) - time.Duration(c.lastReceived.Load())
}

// needsCheck reports whether the connection carries calls or streams and has received nothing for minIdle.
func (c *connection) needsCheck(minIdle time.Duration) bool {
	return c.active.Load() > 0 && c.idleTime() >= minIdle
}

// updateMetrics adds the traffic since its last call to the metrics.
func (c *connection) updateMetrics() {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.quic.ConnectionStats()
	sentBytes.Add(int(stats.BytesSent - c.reported.BytesSent))
	receivedBytes.Add(int(stats.BytesReceived - c.reported.BytesReceived))
	sentPackets.Add(int(stats.PacketsSent - c.reported.PacketsSent))
	receivedPackets.Add(int(stats.PacketsReceived - c.reported.PacketsReceived))
	c.reported = stats
}

// closeUnreachable closes a connection whose peer does not respond.
func (c *connection) closeUnreachable() { _ = c.quic.CloseWithError(codeUnreachable, "no answer") }

// ping makes one round trip on a stream of its own.
func (c *connection) ping(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	defer stream.CancelRead(streamCancelled)
	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return err
	}
	request, err := encode(DefaultMaxMessageBytes, header{Kind: kindPing, Method: pingMethod})
	if err != nil {
		return err
	}
	if _, err := stream.Write(request); err != nil {
		return err
	}
	if err := stream.Close(); err != nil {
		return err
	}
	if err := newDecoder(stream, DefaultMaxMessageBytes).decode(&responseHeader{}); err != nil {
		return err
	}
	c.touch()
	return nil
}

// pingMethod pads pings to the size above which a stateless reset may be sent (RFC 9000 section 10.3.3):
// a restarted process sends no reset for smaller packets.
const pingMethod Method = "peer.connection.ping.padding.bytes"

// connectTo returns a working connection to an address, dialing if necessary.
func (n *Node) connectTo(ctx context.Context, to netip.AddrPort) (*connection, error) {
	if c := n.cached(to); c != nil {
		if c.idleTime() < n.cfg.VerifyAfter || n.verify(ctx, c) {
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return n.dial(ctx, to)
}

// Verify checks the connection to an address in the background, if there is one, and drops it if the peer does not
// respond, so that the next message uses a new connection. Call it when the response to a datagram is missing.
func (n *Node) Verify(to netip.AddrPort) {
	c := n.cached(to)
	if c == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.tasks.Go(func() { n.verify(n.ctx, c) })
	}
}

// verify reports whether the peer responds on a connection. Concurrent callers share one ping.
func (n *Node) verify(ctx context.Context, c *connection) bool {
	result := n.flights.DoChan(fmt.Sprintf("verify %p", c), func() (any, error) {
		err := c.ping(n.ctx, n.cfg.VerifyTimeout)
		if err != nil {
			n.retire(c)
		}
		return nil, err
	})
	select {
	case <-ctx.Done():
		return false
	case r := <-result:
		return r.Err == nil
	}
}

// retire removes an unresponsive connection from the cache, and closes it unless it still carries calls or
// streams: those are left to the health check, which has a longer timeout.
func (n *Node) retire(c *connection) {
	n.uncache(c)
	if c.active.Load() == 0 {
		c.closeUnreachable()
	}
}

// dial opens a connection. Concurrent callers share one handshake.
func (n *Node) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	result := n.flights.DoChan("dial "+to.String(), func() (any, error) {
		if c := n.cached(to); c != nil {
			return c, nil
		}
		return n.handshake(to)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*connection), nil
	}
}

func (n *Node) handshake(to netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	dials.Inc()
	conn, err := n.transport.Dial(ctx, net.UDPAddrFromAddrPort(to), n.creds.tls, n.quicCfg)
	if err != nil {
		failedDials.Inc()
		return nil, oops.In("peer").Wrapf(err, "dial %s", to)
	}
	return n.register(conn)
}

// register caches a new connection and starts serving it. It replaces an older connection to the same address:
// a peer that dials again may have lost the older one in a restart.
func (n *Node) register(conn *quic.Conn) (*connection, error) {
	identity, err := identityOf(conn)
	if err != nil {
		_ = conn.CloseWithError(codeBadPeer, err.Error())
		return nil, err
	}
	c := &connection{quic: conn, peer: identity}
	c.touch()
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.connections[identity.Address] = c
		n.all[c] = struct{}{}
		openConnections.Inc()
		n.tasks.Go(func() { n.serve(c) })
		n.tasks.Go(func() { n.receiveDatagrams(c) })
	}
	n.mu.Unlock()
	if closed {
		_ = conn.CloseWithError(codeClosed, "closed")
		return nil, ErrClosed
	}
	return c, nil
}

// serve accepts incoming calls and streams until the connection ends.
func (n *Node) serve(c *connection) {
	for {
		stream, err := c.quic.AcceptStream(n.ctx)
		if err != nil {
			break
		}
		c.touch()
		n.tasks.Go(func() { n.serveStream(c, stream) })
	}
	_ = c.quic.CloseWithError(codeClosed, "closed")
	n.uncache(c)
	c.updateMetrics()
	n.mu.Lock()
	delete(n.all, c)
	n.mu.Unlock()
	openConnections.Dec()
}

func (n *Node) cached(to netip.AddrPort) *connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.connections[to]
	if c == nil || c.quic.Context().Err() != nil {
		return nil
	}
	return c
}

func (n *Node) uncache(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[c.peer.Address] == c {
		delete(n.connections, c.peer.Address)
	}
}

func (n *Node) allConnections() []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*connection, 0, len(n.all))
	for c := range n.all {
		all = append(all, c)
	}
	return all
}

func isRemote(err error) bool {
	_, ok := errors.AsType[*RemoteError](err)
	return ok
}
