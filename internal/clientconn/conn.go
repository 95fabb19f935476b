package clientconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

const (
	// rateTime is the time constant of the mean rate at which a client sends.
	rateTime = 500 * time.Millisecond
	// readAhead is how much of a body net/http may read together with the head.
	readAhead = 4 << 10
	// endedRetryAfter is when a client may come back that was ended for others.
	endedRetryAfter = 500 * time.Millisecond
	// stallTimeout bounds the time for which a client accepts nothing of a response, and writeStep is the part of it that counts.
	stallTimeout = 2 * time.Second
	writeStep    = 16 << 10
	// maxRefusing is the number of connections that are refused with a response at the same time. Others are closed.
	maxRefusing = 64
	// refusalTimeout and refusalBytes bound what is read of a refused client, so that it gets the response.
	refusalTimeout = 500 * time.Millisecond
	refusalBytes   = 256 << 10
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	guard *Guard
	id    uint64
	// held is guarded by the lock of the guard.
	held int64

	mu    sync.Mutex
	phase intake.Phase
	// since is when the connection was opened or its request began.
	since  time.Time
	rate   float64
	rateAt time.Time
	// headBytes counts the bytes of the head that arrives.
	headBytes int64
	// wanted is the read deadline of the server, and phaseDeadline that of the phase.
	wanted, phaseDeadline time.Time
	// writeDeadline bounds the response.
	writeDeadline time.Time
	// ended means that the client was ended for others.
	ended bool
	// answered means that the client has got its last response, and may not have read it.
	answered bool
	closed   sync.Once
}

// RefusedError means that there is no room for what a client asks for. Its request has not run.
type RefusedError struct{ RetryAfter time.Duration }

func (e *RefusedError) Error() string { return "this VM holds as much for clients as it can" }

// errRefused ends a connection whose client has got a response.
var errRefused = errors.New("client refused")

type contextKey struct{}

// connContext is http.Server.ConnContext.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// Of returns the connection of a request, or nil if no guard bounds it. The methods of a nil connection bound nothing.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// client returns the connection for a decision, without what it holds.
func (c *Conn) client(now time.Time) intake.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return intake.Client{ID: c.id, Phase: c.phase, Rate: c.rateNow(now), Age: now.Sub(c.since)}
}

func (c *Conn) rateNow(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.rateAt).Seconds()/rateTime.Seconds())
}

// enter begins a phase. It reports false if the client has been ended for others. The phase does not change while the guard decides.
func (c *Conn) enter(phase intake.Phase, now time.Time) bool {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	c.phaseDeadline = time.Time{}
	switch phase {
	case intake.Idle:
		c.since, c.headBytes = now, 0
		c.phaseDeadline = now.Add(limits.IdleTimeout)
	case intake.Head:
		c.since = now
		c.phaseDeadline = now.Add(limits.HeadTimeout)
	}
	c.applyDeadline()
	return !c.ended
}

// applyDeadline sets the earlier one of the read deadlines. The caller holds the lock.
func (c *Conn) applyDeadline() {
	deadline := c.wanted
	if !c.phaseDeadline.IsZero() && (deadline.IsZero() || c.phaseDeadline.Before(deadline)) {
		deadline = c.phaseDeadline
	}
	if c.ended {
		deadline = time.Unix(1, 0)
	}
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. Deadlines of the guard remain in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = t
	c.applyDeadline()
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn. Writes also end when a client reads nothing.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// Read implements net.Conn. It charges the client for the head of a request, and ends one that exceeds its limits.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.receive(p[:n]); refused != nil {
			return 0, refused
		}
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.expire(err)
	}
	return n, err
}

// moved records bytes that the client has sent or accepted.
func (c *Conn) moved(n int) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate, c.rateAt = c.rateNow(now)+float64(n)/rateTime.Seconds(), now
	return now
}

// receive records bytes that have arrived.
func (c *Conn) receive(p []byte) error {
	now := c.moved(len(p))
	c.mu.Lock()
	phase := c.phase
	if phase == intake.Idle || phase == intake.Head {
		c.headBytes += int64(len(p))
	}
	size := c.headBytes
	c.mu.Unlock()
	switch phase {
	case intake.Idle:
		c.enter(intake.Head, now)
	case intake.Head:
	default:
		return nil
	}
	if limit := c.guard.limits().HeadBytes; size > limit+readAhead {
		refusedTotal(reasonHeadSize).Inc()
		c.guard.log.Info().Uint64("connection", c.id).Str("client", c.RemoteAddr().String()).Int64("bytes", size).Int64("limit", limit).
			Str("reason", reasonHeadSize).Msg("client refused: the head of its request exceeds the limit")
		return c.answer(http.StatusRequestHeaderFieldsTooLarge, 0)
	}
	cost := int64(2*len(p) + headLineBytes*bytes.Count(p, []byte{'\n'}))
	var refused *RefusedError
	if errors.As(c.guard.reserve(c, cost), &refused) {
		return c.answer(http.StatusServiceUnavailable, refused.RetryAfter)
	}
	return nil
}

// expire returns the error for a read deadline that has passed.
func (c *Conn) expire(err error) error {
	now := time.Now()
	c.mu.Lock()
	phase, ended := c.phase, c.ended
	late := !c.phaseDeadline.IsZero() && !now.Before(c.phaseDeadline)
	c.mu.Unlock()
	switch {
	case phase != intake.Head:
	case ended:
		return c.answer(http.StatusServiceUnavailable, endedRetryAfter)
	case late:
		refusedTotal(reasonHeadTime).Inc()
		c.guard.log.Info().Uint64("connection", c.id).Str("client", c.RemoteAddr().String()).Dur("timeout_ms", c.guard.limits().HeadTimeout).
			Str("reason", reasonHeadTime).Msg("client refused: the head of its request did not arrive in time")
		return c.answer(http.StatusRequestTimeout, endedRetryAfter)
	}
	return err
}

// answer refuses a request whose head has not been read, and returns the error that makes the server close the connection.
func (c *Conn) answer(status int, retryAfter time.Duration) error {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// An error means that the client has closed the connection.
	_, _ = c.Conn.Write(refusal(status, retryAfter))
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
}

// refusal returns a response that closes the connection.
func refusal(status int, retryAfter time.Duration) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n", status, http.StatusText(status))
	if retryAfter > 0 {
		fmt.Fprintf(&text, "Retry-After: %s\r\n", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	content := http.StatusText(status) + "\n"
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(content), content)
	return text.Bytes()
}

// Write implements net.Conn. It fails if the client accepts nothing for a while.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		step := p[written:min(written+writeStep, len(p))]
		c.mu.Lock()
		deadline := time.Now().Add(stallTimeout)
		if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
			deadline = c.writeDeadline
		}
		c.mu.Unlock()
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(step)
		written += n
		c.moved(n)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			stalledTotal.Inc()
			c.guard.log.Info().Uint64("connection", c.id).Str("client", c.RemoteAddr().String()).Int("unsent", len(p)-written).
				Msg("response broken off: its client does not read it")
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// end ends a client for others, and returns the phase that it was in. The goroutine that reads from the connection responds.
func (c *Conn) end() intake.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.applyDeadline()
	return c.phase
}

// CloseWrite closes the connection after its client has had time to read the response. The server calls it before it waits for that
// without a bound on the number of connections.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return c.Close()
}

// SetLinger sets what happens with unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	var err error
	c.closed.Do(func() {
		c.guard.mu.Lock()
		c.guard.forget(c)
		c.guard.mu.Unlock()
		c.mu.Lock()
		answered := c.answered
		c.mu.Unlock()
		if !answered || !c.guard.linger(c.Conn) {
			err = c.Conn.Close()
		}
	})
	return err
}

// refuse refuses a new connection.
func (g *Guard) refuse(conn net.Conn, retryAfter time.Duration) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// A new connection has room for the response.
	_, _ = conn.Write(refusal(http.StatusServiceUnavailable, retryAfter))
	if !g.linger(conn) {
		_ = conn.Close()
	}
}

// linger closes a connection in the background, after its client has had time to read the response: closing it with unread bytes would
// reset it. It reports false if too many connections are being closed.
func (g *Guard) linger(conn net.Conn) bool {
	if g.refusing.Add(1) > maxRefusing {
		g.refusing.Add(-1)
		return false
	}
	go func() {
		defer g.refusing.Add(-1)
		defer func() { _ = conn.Close() }()
		if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.CopyN(io.Discard, conn, refusalBytes)
	}()
	return true
}

// connState is http.Server.ConnState.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.guard.releaseRequest(c)
		c.enter(intake.Idle, time.Now())
		_ = c.SetWriteDeadline(time.Time{})
	}
}
