package clientconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

const (
	// receiveBuffer and sendBuffer are the sizes that the kernel is asked for. It takes up to twice as much.
	receiveBuffer = 16 << 10
	sendBuffer    = 64 << 10
	// connectionBytes is what a connection holds beside its request: buffers here and in the kernel, and stacks.
	connectionBytes = 48 << 10
	// headLineBytes is what a line of a head takes beside its text.
	headLineBytes = 200
	// descriptorsForOthers is the number of descriptors that are kept for files.
	descriptorsForOthers = 200
	// connectionShare is the share of the memory of clients that connections alone may take.
	connectionShare = 0.5
	// backlogDivisor is the number of connections for each one that the kernel may hold until it is accepted, leastBacklog or more.
	backlogDivisor = 4
	leastBacklog   = 64
	// fullTime is how long new connections are refused without another decision after one that was refused.
	fullTime = 5 * time.Millisecond
	// tunnelDivisor is the number of connections for each tunnel that there may be.
	tunnelDivisor = 4
	// Defaults of Limits.
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// responseTimeout bounds the writing of a response, unless its request has a time limit.
	responseTimeout = 30 * time.Second
	// logBurst is the number of lines per second on refused and ended clients.
	logBurst = 20
)

// Limits bound what a client sends. Zero means the default.
type Limits struct {
	HeadBytes int64
	// HeadTimeout bounds the time from the first to the last byte of a head, and IdleTimeout the time before the first.
	HeadTimeout, IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Config configures a Guard.
type Config struct {
	// Memory is what all clients may hold, in bytes, and Connections their number.
	Memory      int64
	Connections int
	// Limits returns the limits of a single request that are in force. Nil means the defaults.
	Limits func() Limits
	// LongResponses means that responses have no time limit. Their clients still have to read them.
	LongResponses bool
	Log           zerolog.Logger
}

// DefaultConnections returns how many clients a VM serves at once, given its descriptors and the memory of its clients. Half of the
// descriptors are for targets.
func DefaultConnections(descriptors int, memory int64) int {
	byMemory := int(connectionShare * float64(memory) / connectionBytes)
	return max(min((descriptors-descriptorsForOthers)/2, byMemory), 1)
}

// ProcessDescriptors returns the number of descriptors that this process may open.
func ProcessDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// Guard bounds the clients of a process. The zero value is not valid; use New.
type Guard struct {
	config Config
	log    zerolog.Logger
	// refusing is the number of connections that are being refused.
	refusing atomic.Int64

	mu     sync.Mutex
	conns  map[uint64]*Conn
	nextID uint64
	held   int64
	// fullUntil is until when no client is expected to make way for a new one.
	fullUntil time.Time
}

// New returns a guard.
func New(config Config) *Guard {
	g := &Guard{
		config: config,
		conns:  map[uint64]*Conn{},
		log:    config.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
	}
	guards.add(g)
	return g
}

func (g *Guard) limits() Limits {
	if g.config.Limits == nil {
		return Limits{}.withDefaults()
	}
	return g.config.Limits().withDefaults()
}

// Listen listens on a TCP address for connections that the guard bounds. The network is that of net.Listen.
func (g *Guard) Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		failed := raw.Control(func(fd uintptr) {
			// Connections inherit the sizes. They are set before the TCP window is negotiated.
			if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			}
		})
		if failed != nil {
			return failed
		}
		return err
	}}
	inner, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if err := g.limitBacklog(inner); err != nil {
		return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), inner.Close())
	}
	return &listener{Listener: inner, guard: g}, nil
}

// limitBacklog bounds the connections that the kernel holds until they are accepted, with what their clients have sent. The net package
// asks for as many as the kernel allows.
func (g *Guard) limitBacklog(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	failed := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), max(g.config.Connections/backlogDivisor, leastBacklog)) })
	return errors.Join(failed, err)
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
	}
}

// Server returns an HTTP server of a handler, whose listeners are those of the guard.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.handler(handler),
		// Conn limits the head and the time.
		MaxHeaderBytes: 64 << 20,
		ConnState:      connState,
		ConnContext:    connContext,
	}
}

// admit returns a connection for which there is room, and nil for one that is refused.
func (g *Guard) admit(conn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: conn, guard: g, since: now, rateAt: now}
	g.mu.Lock()
	g.nextID++
	c.id = g.nextID
	demand := intake.Demand{Client: intake.Client{ID: c.id}, Bytes: connectionBytes, Connection: true}
	decision := g.decideNew(now, demand)
	if decision.Admit {
		c.held = connectionBytes
		g.held += connectionBytes
		g.conns[c.id] = c
	}
	g.mu.Unlock()
	if !decision.Admit {
		refusedTotal(reasonConnections).Inc()
		g.logRefusal(c, demand, decision, reasonConnections)
		g.refuse(conn, decision.RetryAfter)
		return nil
	}
	c.enter(intake.Idle, now)
	return c
}

// decideNew answers a demand for a connection. The caller holds the lock.
func (g *Guard) decideNew(now time.Time, demand intake.Demand) intake.Decision {
	if len(g.conns) >= g.config.Connections && now.Before(g.fullUntil) {
		return intake.Decision{RetryAfter: endedRetryAfter}
	}
	decision := g.decide(now, demand)
	if !decision.Admit {
		g.fullUntil = now.Add(fullTime)
	}
	return decision
}

// admitTunnel reports whether there is room for one more tunnel. Each takes a descriptor more than other connections.
func (g *Guard) admitTunnel(c *Conn) bool {
	now := time.Now()
	demand := intake.Demand{Client: c.client(now), Connection: true}
	g.mu.Lock()
	tunnels := slices.DeleteFunc(g.clients(now), func(c intake.Client) bool { return c.Phase != intake.Tunnel })
	room := intake.Room{Memory: g.config.Memory, Connections: max(g.config.Connections/tunnelDivisor, 1), ConnectionsIn: len(tunnels)}
	decision := g.endFor(demand, intake.Decide(room, tunnels, demand))
	g.mu.Unlock()
	if !decision.Admit {
		refusedTotal(reasonTunnels).Inc()
		g.logRefusal(c, demand, decision, reasonTunnels)
	}
	return decision.Admit
}

// decide answers a demand, and ends other clients for it. The caller holds the lock.
func (g *Guard) decide(now time.Time, demand intake.Demand) intake.Decision {
	room := intake.Room{Memory: g.config.Memory, Held: g.held, Connections: g.config.Connections, ConnectionsIn: len(g.conns)}
	if room.Fits(demand) {
		return intake.Decision{Admit: true}
	}
	return g.endFor(demand, intake.Decide(room, g.clients(now), demand))
}

// clients returns what each client holds. The caller holds the lock.
func (g *Guard) clients(now time.Time) []intake.Client {
	clients := make([]intake.Client, 0, len(g.conns))
	for _, c := range g.conns {
		client := c.client(now)
		client.Held = c.held
		clients = append(clients, client)
	}
	return clients
}

// endFor ends the clients that make way for a demand. The caller holds the lock.
func (g *Guard) endFor(demand intake.Demand, decision intake.Decision) intake.Decision {
	for _, id := range decision.End {
		c := g.conns[id]
		held := c.held
		g.forget(c)
		phase := c.end()
		endedTotal(phase).Inc()
		g.log.Info().Uint64("connection", id).Str("client", c.RemoteAddr().String()).Str("phase", phase.String()).Int64("held", held).
			Uint64("for", demand.Client.ID).Msg("client ended: it held much, moved little, and another one needs the room")
	}
	return decision
}

// forget takes a connection out of the account. The caller holds the lock.
func (g *Guard) forget(c *Conn) {
	if g.conns[c.id] == c {
		delete(g.conns, c.id)
		g.held -= c.held
		c.held = 0
	}
}

// reserve charges a connection for n more bytes. It fails with *RefusedError.
func (g *Guard) reserve(c *Conn, n int64) error {
	now := time.Now()
	client := c.client(now)
	g.mu.Lock()
	if g.conns[c.id] != c {
		g.mu.Unlock()
		return &RefusedError{RetryAfter: endedRetryAfter}
	}
	client.Held = c.held
	demand := intake.Demand{Client: client, Bytes: n}
	decision := g.decide(now, demand)
	if decision.Admit {
		c.held += n
		g.held += n
	}
	g.mu.Unlock()
	if !decision.Admit {
		refusedTotal(reasonMemory).Inc()
		g.logRefusal(c, demand, decision, reasonMemory)
		return &RefusedError{RetryAfter: decision.RetryAfter}
	}
	return nil
}

// release takes back a charge of n bytes.
func (g *Guard) release(c *Conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c.id] == c {
		c.held -= n
		g.held -= n
	}
}

// releaseRequest takes back what a connection was charged for its last request.
func (g *Guard) releaseRequest(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c.id] == c {
		g.held -= c.held - connectionBytes
		c.held = connectionBytes
	}
}

func (g *Guard) logRefusal(c *Conn, d intake.Demand, decision intake.Decision, reason string) {
	g.log.Info().Uint64("connection", c.id).Str("client", c.RemoteAddr().String()).Str("phase", d.Client.Phase.String()).
		Int64("held", d.Client.Held).Float64("rate", d.Client.Rate).Dur("age_ms", d.Client.Age).Int64("wanted", d.Bytes).
		Int64("memory", g.config.Memory).Int("connections", g.config.Connections).
		Dur("retry_after_ms", decision.RetryAfter).Str("reason", reason).Msg("client refused: there is no room for what it asks for")
}

// inUse returns what clients hold.
func (g *Guard) inUse() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.held
}
