package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	host = "a.example"
	// maxAttempts is how often a client sends a request before it gives up.
	maxAttempts = 15
	// maxRetryAfter bounds how long a client waits for a retry.
	maxRetryAfter     = time.Second
	defaultRetryAfter = 100 * time.Millisecond
	// shortTimeout ends most streams before their last event.
	shortTimeout, longTimeout = 300 * time.Millisecond, 8 * time.Second
	slowReadPause             = 40 * time.Millisecond
	resultsInterval           = 150 * time.Millisecond
)

// client sends requests one after another. It keeps its connection open until it breaks or the VM closes it.
type client struct {
	fleet   *Fleet
	random  *rand.Rand
	name    string
	next    int
	vm      string
	conn    *net.TCPConn
	reader  *bufio.Reader
	started time.Time
}

func (c *client) newID() string {
	c.next++
	return fmt.Sprintf("%s.%d", c.name, c.next)
}

func (c *client) oneIn(n int) bool { return c.random.IntN(n) == 0 }

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to any VM, directly or by way of its proxy.
func (c *client) connect() error {
	i := c.random.IntN(len(c.fleet.vms))
	vm := c.fleet.vms[i]
	address := vm.clients
	if c.oneIn(2) {
		address = vm.clientProxy.Address()
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	c.vm, c.conn, c.reader = vm.name, conn.(*net.TCPConn), bufio.NewReader(conn)
	return nil
}

// send sends a request on the open connection, or on a new one, and returns the response with its body unread.
func (c *client) send(method, uri, id string, body []byte, timeout time.Duration, addHeaders func(http.Header)) (*http.Response, error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return nil, err
		}
	}
	r, err := http.NewRequest(method, "http://"+host+uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	platform.SetAttempt(r.Header, id, int(timeout.Milliseconds()))
	addHeaders(r.Header)
	// The client waits somewhat longer than it allows.
	if err := c.conn.SetDeadline(time.Now().Add(timeout + 1500*time.Millisecond)); err != nil {
		return nil, err
	}
	if err := r.Write(c.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

// stream sends a request until it is complete or the client gives up.
func (c *client) stream(ctx context.Context, route Route) Stream {
	s := Stream{Route: route}
	after, first := -1, ""
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		a, wait := c.attempt(route, first, after)
		s.Attempts = append(s.Attempts, a)
		if after < 0 && len(a.Events) > 0 {
			first = a.ID
		}
		after += len(a.Events)
		if a.Complete && a.Status == http.StatusOK {
			break
		}
		time.Sleep(wait)
		if route != Resumable && !isRefusal(a.Status) {
			break
		}
	}
	return s
}

// attempt sends a request, which resumes a stream unless after is -1. Some attempts end their direction of the connection, read
// slowly, have a short timeout, leave before the end, or don't name the attempt that brought the first event.
func (c *client) attempt(route Route, first string, after int) (a Attempt, wait time.Duration) {
	a = Attempt{ID: c.newID(), After: after, Start: time.Since(c.started).Milliseconds(), HalfClosed: c.oneIn(8)}
	timeout, slow, leaveAfter, keep := longTimeout, c.oneIn(8), -1, false
	if c.oneIn(12) {
		timeout = shortTimeout
	}
	if c.oneIn(12) {
		leaveAfter = c.random.IntN(c.fleet.config.Events)
	}
	if c.oneIn(2) {
		first = ""
	}
	defer func() {
		a.End = time.Since(c.started).Milliseconds()
		if !keep {
			c.disconnect()
		}
	}()
	response, err := c.send(http.MethodPost, string(route)+"x", a.ID, []byte("prompt"), timeout, func(h http.Header) {
		if after >= 0 {
			platform.SetResume(h, first, int64(after))
		}
	})
	a.VM = c.vm
	if err != nil {
		a.Error = err.Error()
		return a, defaultRetryAfter
	}
	defer func() { _ = response.Body.Close() }()
	if a.HalfClosed {
		// The VM may have closed the connection already.
		_ = c.conn.CloseWrite()
	}
	a.Status = response.StatusCode
	if a.Status != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		a.Error, keep = fmt.Sprintf("%v: %s", err, bytes.TrimSpace(text)), err == nil && !response.Close && !a.HalfClosed
		return a, retryAfter(response.Header)
	}
	a.Rest, err = readEvents(response.Body, func(e Event) bool {
		a.Events = append(a.Events, e)
		if slow {
			time.Sleep(slowReadPause)
		}
		return len(a.Events) != leaveAfter
	})
	if a.Complete = err == nil; !a.Complete {
		a.Error = err.Error()
		return a, 0
	}
	extra, _ := c.reader.Peek(c.reader.Buffered())
	a.Extra = string(extra)
	keep = !response.Close && !a.HalfClosed && a.Extra == ""
	return a, 0
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}

// job submits a batch job and reads its results at any VMs, from the last position or an earlier one, until all are listed.
func (c *client) job(ctx context.Context, items int) Job {
	j := Job{ID: c.newID(), Items: items}
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"%s-%d","path":"/b/%d","body":"","tokens":10}`, j.ID, i, i)
	}
	body := []byte(`{"items":[` + strings.Join(list, ",") + `]}`)
	accepted := false
	for attempts := 0; !accepted && attempts < maxAttempts && ctx.Err() == nil; attempts++ {
		status, _ := c.call(http.MethodPost, "/b/"+j.ID, j.ID, body)
		j.Statuses = append(j.Statuses, status)
		accepted = status == http.StatusAccepted
		if !accepted {
			time.Sleep(200 * time.Millisecond)
		}
	}
	for listed := 0; accepted && listed < items && ctx.Err() == nil; time.Sleep(resultsInterval) {
		after := listed
		if c.oneIn(3) {
			after = c.random.IntN(listed + 1)
		}
		read := Read{After: after}
		status, content := c.call(http.MethodGet, platform.ResultsURI(j.ID, after), c.newID(), nil)
		read.VM, read.At = c.vm, time.Since(c.started).Milliseconds()
		if status != http.StatusOK || json.Unmarshal(content, &read) != nil {
			continue
		}
		j.Reads = append(j.Reads, read)
		listed = max(listed, after+len(read.Results))
	}
	return j
}

// call sends one request on a connection of its own. The status is 0 without a complete response.
func (c *client) call(method, uri, id string, body []byte) (int, []byte) {
	defer c.disconnect()
	response, err := c.send(method, uri, id, body, 3*time.Second, func(http.Header) {})
	if err != nil {
		return 0, nil
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}
