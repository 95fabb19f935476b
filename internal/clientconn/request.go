package clientconn

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/intake"
)

const (
	// bodyTimeout bounds the reading of a body that a handler does not read.
	bodyTimeout = 5 * time.Second
)

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
	return live
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

// Run records that the request is complete or is read as it arrives: its client is not ended any more. It reports false if the client
// has been ended.
func (c *Conn) Run() bool {
	if c == nil {
		return true
	}
	return c.enter(intake.Running, time.Now())
}
