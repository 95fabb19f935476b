package clientconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

const (
	// firstStep is what is read of a body before it is known to be longer.
	firstStep = 4 << 10
	// bodyTimeout bounds the reading of a body that a handler does not read.
	bodyTimeout = 5 * time.Second
)

// ErrBodyTime means that a body did not arrive in time.
var ErrBodyTime = errors.New("the body did not arrive in time")

// handler bounds the requests of a handler.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r) {
			Refuse(w, http.StatusServiceUnavailable, endedRetryAfter, "this VM holds as much for clients as it can")
			return
		}
		if limit := g.limits().HeadBytes; headSize(r) > limit {
			refusedTotal(reasonHeadSize).Inc()
			Refuse(w, http.StatusRequestHeaderFieldsTooLarge, 0, fmt.Sprintf("the head of the request exceeds %d bytes", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// begin records that the head of a request was read. It reports false if the client was ended meanwhile.
func (c *Conn) begin(r *http.Request) bool {
	now := time.Now()
	phase := intake.Body
	if r.ContentLength == 0 {
		phase = intake.Running
	}
	live := c.enter(phase, now)
	if phase == intake.Body {
		c.limitBody(now.Add(bodyTimeout))
	}
	if !c.guard.config.LongResponses {
		_ = c.SetWriteDeadline(now.Add(responseTimeout))
	}
	return live
}

// LimitBody sets the time until which the body has to arrive, zero for no limit.
func (c *Conn) LimitBody(deadline time.Time) {
	if c != nil {
		c.limitBody(deadline)
	}
}

func (c *Conn) limitBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phaseDeadline = deadline
	c.applyDeadline()
}

// headSize returns the size of a head, at most that of what was sent.
func headSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	if r.Host != "" {
		size += len("Host: \r\n") + len(r.Host)
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return int64(size)
}

// Refuse refuses a request whose body may not have been read, and closes the connection.
func Refuse(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	// The server would await the rest of the body otherwise.
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// Reserve charges the client for n more bytes until the end of its request. It fails with *RefusedError.
func (c *Conn) Reserve(n int64) error {
	if c == nil {
		return nil
	}
	return c.guard.reserve(c, n)
}

// Release takes back a charge before the end of the request.
func (c *Conn) Release(n int64) {
	if c != nil {
		c.guard.release(c, n)
	}
}

// Run records that the request is complete or is read as it arrives: its client is not ended any more. It reports false if the client
// has been ended.
func (c *Conn) Run() bool {
	if c == nil {
		return true
	}
	return c.enter(intake.Running, time.Now())
}

// Tunnel records that the connection carries another one, which has no time limit, and which may be ended for others. It fails with
// *RefusedError if there are too many.
func (c *Conn) Tunnel() error {
	if c == nil {
		return nil
	}
	c.LimitResponse(time.Time{})
	if !c.guard.admitTunnel(c) || !c.enter(intake.Tunnel, time.Now()) {
		return &RefusedError{RetryAfter: endedRetryAfter}
	}
	return nil
}

// LimitResponse sets the time until which the response may be written, zero for no limit.
func (c *Conn) LimitResponse(deadline time.Time) {
	if c != nil {
		_ = c.SetWriteDeadline(deadline)
	}
}

// ReadBody reads a body that has to arrive until a deadline, and charges the client for it. It fails with *RefusedError, ErrBodyTime,
// or the error of the reader. Length is -1 if it is not known.
func (c *Conn) ReadBody(body io.Reader, length int64, deadline time.Time) ([]byte, error) {
	if c == nil {
		return io.ReadAll(body)
	}
	c.limitBody(deadline)
	content, err := c.readAll(body, length)
	if err == nil && !c.Run() {
		return nil, &RefusedError{RetryAfter: endedRetryAfter}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.bodyError(err)
	}
	return content, err
}

// bodyError returns why the reading of a body was ended.
func (c *Conn) bodyError(err error) error {
	c.mu.Lock()
	ended, late := c.ended, !time.Now().Before(c.phaseDeadline)
	c.mu.Unlock()
	switch {
	case ended:
		return &RefusedError{RetryAfter: endedRetryAfter}
	case late:
		refusedTotal(reasonBodyTime).Inc()
		return ErrBodyTime
	}
	return err
}

func (c *Conn) readAll(body io.Reader, length int64) ([]byte, error) {
	var content []byte
	var one [1]byte
	for {
		if len(content) == cap(content) && (length < 0 || int64(len(content)) < length) {
			grown := max(2*int64(cap(content)), firstStep)
			if length >= 0 {
				grown = min(grown, length)
			}
			if err := c.Reserve(grown); err != nil {
				return nil, err
			}
			larger := make([]byte, len(content), grown)
			copy(larger, content)
			c.Release(int64(cap(content)))
			content = larger
		}
		free := content[len(content):cap(content)]
		if len(free) == 0 {
			free = one[:]
		}
		n, err := body.Read(free)
		if len(content) < cap(content) {
			content = content[:len(content)+n]
		} else if n > 0 {
			return nil, errors.New("the body is longer than it says")
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
