// Package engine sends requests to targets over HTTP and states exactly whether each may have run.
//
// Every request has a connection of its own. An answer that arrives late can then reach no other
// request, closing the connection cancels exactly one request, and net/http never repeats a request
// on its own (it does so on reused connections only).
package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Config configures a Client.
type Config struct {
	// ConnectTimeout bounds the making of a connection. Default 1s.
	ConnectTimeout time.Duration
	// EventTimeout bounds the wait for each event of a stream after the first, and the reading of
	// the body of other answers. Default 30s.
	EventTimeout time.Duration
	// MaxResponseBytes bounds an answer that is not streamed. Default 16 MiB.
	MaxResponseBytes int64
}

const (
	defaultConnectTimeout = time.Second
	defaultEventTimeout   = 30 * time.Second
	defaultMaxAnswerBytes = 16 << 20
)

func (c *Config) setDefaults() {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.EventTimeout == 0 {
		c.EventTimeout = defaultEventTimeout
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = defaultMaxAnswerBytes
	}
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
}

// New returns a client.
func New(config Config) *Client {
	config.setDefaults()
	dialer := &net.Dialer{Timeout: config.ConnectTimeout}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
	}
	return &Client{config: config, transport: transport}
}

// Request is one request to a target.
type Request struct {
	// Address is the target's HTTP address (IP:port).
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path of the URL, RawPath its encoded form if that differs, and Query the encoded query.
	Path    string
	RawPath string
	Query   string
	Header  http.Header
	Body    []byte
	// FirstByteTimeout bounds the wait for the first byte of the answer, or the first event of a
	// stream, the connection included. Zero means no bound; a negative time is over at once.
	FirstByteTimeout time.Duration
}

// send returns the answer's headers and an open body. The exchange must be closed.
func (c *Client) send(ctx context.Context, request Request) (*exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchange{cancel: cancel}
	x.watch(request.FirstByteTimeout)
	httpRequest := c.newHTTPRequest(x.trace(ctx), request)
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		failure := x.classify(ctx, err)
		x.close()
		return nil, failure
	}
	x.response = response
	x.ctx = ctx
	return x, nil
}

func (c *Client) newHTTPRequest(ctx context.Context, request Request) *http.Request {
	target := &url.URL{
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
		URL:           target,
		Host:          request.Address,
		Header:        header,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return httpRequest.WithContext(ctx)
}

// exchange is one request and its answer.
type exchange struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *http.Response

	mu    sync.Mutex
	conn  *guardedConn
	timer *time.Timer
}

// trace returns a context that tells the exchange which connection carries the request.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*guardedConn)
			if !ok {
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			x.conn = conn
		},
	})
}

// watch cancels the exchange when timeout passes before the next call of watch. Zero stops the watch; a
// negative timeout has passed already.
func (x *exchange) watch(timeout time.Duration) {
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

// mayHaveRun reports whether a byte was handed to the connection. No byte is handed over afterwards.
func (x *exchange) mayHaveRun() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.conn.seal()
}

func (x *exchange) close() {
	x.watch(0)
	x.cancel(context.Canceled)
	if x.response != nil {
		_ = x.response.Body.Close()
	}
}

// verdictNow returns the verdict of an exchange that has no whole answer.
func (x *exchange) verdictNow() verdict.Verdict {
	if x.mayHaveRun() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
