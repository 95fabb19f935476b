package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"
	"golang.org/x/sync/singleflight"
)

// maxIncomingStreams bounds the calls and streams that one peer may have open on a connection.
const maxIncomingStreams = 4096

// packetBytes is the size of QUIC packets. Path MTU discovery is off: it costs several kilobytes on each
// connection, and most of the hundreds of connections carry only probes.
const packetBytes = 1280

// Node is the transport endpoint of one process. Its methods are safe for concurrent use after Start.
type Node struct {
	cfg       Config
	creds     credentials
	udp       *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	quicCfg   *quic.Config

	calls     map[Method]CallHandler
	streams   map[Method]StreamHandler
	datagrams DatagramHandler

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// activeCalls counts the running call handlers, which Close waits for.
	activeCalls sync.WaitGroup
	flights     singleflight.Group

	mu     sync.Mutex
	closed bool
	// connections caches the connection that new calls, streams and datagrams to an address use.
	connections map[netip.AddrPort]*connection
	// all holds the open connections, including those that were replaced or removed in connections.
	all map[*connection]struct{}
}

var (
	_ Caller    = (*Node)(nil)
	_ Registrar = (*Node)(nil)
)

// Listen opens the node's UDP socket. Register handlers before calling Start.
func Listen(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	creds, err := loadCredentials(cfg.TLS)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, oops.In("peer").Wrapf(err, "parse peer address")
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.In("peer").Wrapf(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		cfg:       cfg,
		creds:     creds,
		udp:       udp,
		transport: &quic.Transport{Conn: udp, StatelessResetKey: &creds.resetKey},
		quicCfg: &quic.Config{
			MaxIdleTimeout:          cfg.IdleTimeout,
			HandshakeIdleTimeout:    cfg.DialTimeout,
			MaxIncomingStreams:      maxIncomingStreams,
			EnableDatagrams:         true,
			InitialPacketSize:       packetBytes,
			DisablePathMTUDiscovery: true,
		},
		calls:       map[Method]CallHandler{},
		streams:     map[Method]StreamHandler{},
		ctx:         ctx,
		cancel:      cancel,
		connections: map[netip.AddrPort]*connection{},
		all:         map[*connection]struct{}{},
	}, nil
}

// Address returns the address on which the node listens.
func (n *Node) Address() netip.AddrPort {
	return n.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// HandleCall implements Registrar.
func (n *Node) HandleCall(method Method, handler CallHandler) { n.calls[method] = handler }

// HandleStream implements Registrar.
func (n *Node) HandleStream(method Method, handler StreamHandler) { n.streams[method] = handler }

// HandleDatagram sets the handler of datagrams. It must be called before Start.
func (n *Node) HandleDatagram(handler DatagramHandler) { n.datagrams = handler }

// Start accepts connections.
func (n *Node) Start() error {
	listener, err := n.transport.Listen(n.creds.tls, n.quicCfg)
	if err != nil {
		return oops.In("peer").Wrapf(err, "listen for peers")
	}
	n.listener = listener
	n.tasks.Go(n.accept)
	n.tasks.Go(n.healthCheckLoop)
	return nil
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		if _, err := n.register(conn); err != nil {
			n.cfg.Log.Warn().Err(err).Str("address", conn.RemoteAddr().String()).Msg("incoming peer connection rejected")
		}
	}
}

// Close rejects new calls and streams, waits until running call handlers have returned or ctx ends, and
// closes all connections, which ends open streams.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	alreadyClosed := n.closed
	n.closed = true
	n.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	err := waitFor(ctx, &n.activeCalls)
	n.flush(ctx)
	n.cancel()
	for _, c := range n.allConnections() {
		_ = c.quic.CloseWithError(codeClosed, "closed")
	}
	if n.listener != nil {
		err = errors.Join(err, n.listener.Close())
	}
	err = errors.Join(err, waitFor(ctx, &n.tasks))
	return errors.Join(err, n.transport.Close(), n.udp.Close())
}

// flush makes a round trip on every recently used connection, so that responses already written are
// delivered: closing a connection discards unsent data.
func (n *Node) flush(ctx context.Context) {
	var pings sync.WaitGroup
	for _, c := range n.allConnections() {
		if c.idleTime() < n.cfg.HealthCheckTimeout {
			pings.Go(func() { _ = c.ping(ctx, n.cfg.VerifyTimeout) })
		}
	}
	pings.Wait()
}

func waitFor(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return oops.In("peer").Wrapf(ctx.Err(), "handlers still running")
	}
}

// beginCall counts a running call handler. It returns false if the node is closing.
func (n *Node) beginCall() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.activeCalls.Add(1)
	return true
}

func (n *Node) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// healthCheckLoop checks connections that carry calls or streams but receive nothing, so that calls and streams to a
// lost process fail within twice Config.HealthCheckInterval plus Config.HealthCheckTimeout.
func (n *Node) healthCheckLoop() {
	ticker := time.NewTicker(n.cfg.HealthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range n.allConnections() {
			c.updateMetrics()
			if c.needsCheck(n.cfg.HealthCheckInterval) && c.checking.CompareAndSwap(false, true) {
				n.tasks.Go(func() { n.checkHealth(c) })
			}
		}
	}
}

func (n *Node) checkHealth(c *connection) {
	defer c.checking.Store(false)
	if err := c.ping(n.ctx, n.cfg.HealthCheckTimeout); err != nil {
		c.closeUnreachable()
	}
}
