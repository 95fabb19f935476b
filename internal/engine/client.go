// Package engine sends requests to targets over HTTP and reports for each whether the target may have run it.
//
// Every request uses its own connection. A late response then cannot be taken for the response to another
// request, closing the connection cancels exactly one request, and net/http never retries a request
// by itself (it does so on reused connections only).
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/reserve"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Config configures a Client.
type Config struct {
	// ConnectTimeout is the timeout for establishing a connection. Default 1s.
	ConnectTimeout time.Duration
	// EventTimeout bounds the wait for each event of a stream after the first, and the time to read
	// the body of other responses. Default 30s.
	EventTimeout time.Duration
	// MaxResponseBytes is the maximum body size of an unstreamed response. Default 16 MiB.
	MaxResponseBytes int64
	// BufferBytes bounds what all responses hold while they are read, beside 16 KB of each. Default 48 MiB.
	BufferBytes int64
}

const (
	defaultConnectTimeout   = time.Second
	defaultEventTimeout     = 30 * time.Second
	defaultMaxResponseBytes = 16 << 20
	defaultBufferBytes      = 48 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 256 << 10
)

func (c *Config) setDefaults() {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.EventTimeout == 0 {
		c.EventTimeout = defaultEventTimeout
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
	if c.BufferBytes == 0 {
		c.BufferBytes = defaultBufferBytes
	}
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	buffers   *reserve.Room
}

// New returns a client.
func New(config Config) *Client {
	config.setDefaults()
	dialer := &net.Dialer{Timeout: config.ConnectTimeout}
	transport := &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
	}
	return &Client{config: config, transport: transport, buffers: reserve.NewRoom(config.BufferBytes)}
}

// Request is one request to a target.
type Request struct {
	// Address is the target's HTTP address (IP:port).
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path of the URL, RawPath its encoded form if it differs from the default encoding, and Query the
	// encoded query.
	Path    string
	RawPath string
	Query   string
	Header  http.Header
	Body    []byte
	// FirstByteTimeout bounds the time from dialing to the headers of the response, or to the first event of a
	// stream. Zero means no timeout; a negative timeout expires immediately.
	FirstByteTimeout time.Duration
}

// send sends request and returns an exchange with the response's headers and an open body. The exchange must be
// closed.
func (c *Client) send(ctx context.Context, request Request) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchange{cancel: cancel, buffered: c.buffers.Reserve()}
	x.setTimeout(request.FirstByteTimeout)
	httpRequest := c.newHTTPRequest(x.trace(ctx), request)
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		failure := x.classify(ctx, err)
		x.close()
		return nil, failure
	}
	x.response = response
	x.ctx = ctx
	// net/http accepts any three digits.
	if status := response.StatusCode; status < 200 || status > 599 {
		x.close()
		return nil, failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeTargetFailed,
			fmt.Sprintf("the target answered with %03d, which is not the status of a response", status), nil)
	}
	return x, nil
}

func (c *Client) newHTTPRequest(ctx context.Context, request Request) *http.Request {
	u := &url.URL{
		Scheme:   "http",
		Host:     request.Address,
		Path:     request.Path,
		RawPath:  request.RawPath,
		RawQuery: request.Query,
	}
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	httpRequest := &http.Request{
		Method:        request.Method,
		URL:           u,
		Host:          request.Address,
		Header:        header,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return httpRequest.WithContext(ctx)
}

// exchange is one request and its response.
type exchange struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *http.Response
	// buffered is what the response holds while it is read.
	buffered reserve.Reservation

	mu    sync.Mutex
	conn  *sealableConn
	timer *time.Timer
}

// trace returns a context that records in the exchange which connection carries the request.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*sealableConn)
			if !ok {
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			x.conn = conn
		},
	})
}

// setTimeout replaces the current timeout; the exchange is cancelled with errTimeout when it expires. Zero clears
// the timeout; a negative timeout expires immediately.
func (x *exchange) setTimeout(timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
		x.timer = nil
	}
	if timeout != 0 {
		x.timer = time.AfterFunc(timeout, func() { x.cancel(errTimeout) })
	}
}

// mayHaveRun reports whether a byte was written to the connection, and prevents further writes.
func (x *exchange) mayHaveRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.conn.seal()
}

func (x *exchange) close() {
	x.setTimeout(0)
	x.cancel(context.Canceled)
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.buffered.Release()
}

// failureVerdict returns the verdict of an exchange without a complete response.
func (x *exchange) failureVerdict() verdict.Verdict {
	if x.mayHaveRun() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
