// Package client speaks HTTP to the platform's services.
//
// Errors follow one rule: a failure is platform.ErrUnavailable only where no byte of the request was
// handed to a connection or the service refused it with status 503. A commit that failed in any other way
// is platform.ErrOutcomeUnknown.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// defaultTimeout bounds one call when the settings name no timeout.
	defaultTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections kept to the platform.
	maxIdleConns = 32
	// maxErrorBytes bounds how much of an error answer is read.
	maxErrorBytes = 4 << 10
	// maxAnswerBytes bounds one answer of the table.
	maxAnswerBytes = 64 << 20
)

// Client reaches the platform's services under one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the services under baseURL. The timeout bounds each call; zero means 2 s.
func New(baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConns:          maxIdleConns,
		MaxIdleConnsPerHost:   maxIdleConns,
		ResponseHeaderTimeout: timeout,
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}
}

// Table returns the table service.
func (c *Client) Table() platform.Table { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

// VMs returns the list of VMs.
func (c *Client) VMs() platform.VMList { return vms{c} }

// Weights returns the weight store.
func (c *Client) Weights() platform.Weights { return weights{c} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// callError is a call without a usable answer.
type callError struct {
	// sent is false when no byte of the request can have reached the service.
	sent  bool
	cause error
}

func (e *callError) Error() string { return e.cause.Error() }
func (e *callError) Unwrap() error { return e.cause }

// asRead maps a failed call to the error of an operation that writes nothing.
func asRead(err error) error {
	var call *callError
	if errors.As(err, &call) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return err
}

// asWrite maps a failed call to the error of an operation that writes.
func asWrite(err error) error {
	var call *callError
	if errors.As(err, &call) && call.sent {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return asRead(err)
}

// statusError is an answer with an unexpected status.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// send performs one call. The caller closes the answer's body.
func (c *Client) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &callError{sent: connected.Load(), cause: err}
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		defer func() { _ = response.Body.Close() }()
		return nil, &callError{sent: false, cause: readStatusError(response)}
	}
	return response, nil
}

func readStatusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &statusError{status: response.StatusCode, text: strings.TrimSpace(string(text))}
}

// post sends a JSON message and decodes the answer into answer when the status is 200, and into
// conflict when it is 409.
func (c *Client) post(ctx context.Context, path string, message, answer, conflict any) (status int, err error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodPost, path, body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusOK:
		return response.StatusCode, decode(response.Body, answer)
	case response.StatusCode == http.StatusConflict && conflict != nil:
		return response.StatusCode, decode(response.Body, conflict)
	default:
		return response.StatusCode, &callError{sent: true, cause: readStatusError(response)}
	}
}

// getJSON reads a JSON answer.
func (c *Client) getJSON(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &callError{sent: true, cause: readStatusError(response)}
	}
	return decode(response.Body, answer)
}

// decode reads a whole JSON value. A truncated answer is no answer.
func decode(body io.Reader, out any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(out); err != nil {
		return &callError{sent: true, cause: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// escape makes a name with slashes usable as a path.
func escape(name string) string { return (&url.URL{Path: name}).EscapedPath() }
