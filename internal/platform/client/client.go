// Package client gives the product's own programs the platform's services: the table and the objects, which
// are kept in the platform's store, and the VM list and the weight store, which only our stand-in has.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	store "github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// defaultTimeout bounds one call when the settings name no timeout.
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds one answer of the VM list.
	maxAnswerBytes = 64 << 20
	// bytesPerTimeout is the content size for which the timeout is extended by its own length once.
	bytesPerTimeout = 8 << 20
)

// Client reaches the platform's services under one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	store   *store.Store
	http    *http.Client
}

// New returns a client of the services under baseURL. The timeout bounds each call; zero means 2 s.
func New(baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: timeout,
		store:   store.NewStore(strings.TrimPrefix(strings.TrimSuffix(baseURL, "/"), "http://")),
		http:    &http.Client{Timeout: timeout},
	}
}

// Table returns the table service.
func (c *Client) Table() platform.Table { return platform.NewTable(timedRows{c}) }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return platform.NewObjects(timedBlobs{c}) }

// VMs returns the list of VMs.
func (c *Client) VMs() platform.VMList { return vms{c} }

// Weights returns the weight store.
func (c *Client) Weights() platform.Weights { return weights{c} }

// Close closes idle connections.
func (c *Client) Close() {
	c.store.Close()
	c.http.CloseIdleConnections()
}

// timedRows bounds each call on rows.
type timedRows struct{ c *Client }

// Read implements platform.Rows.
func (r timedRows) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timeout)
	defer cancel()
	return r.c.store.Read(ctx, table, part, keys)
}

// Follow implements platform.Rows.
func (r timedRows) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	return r.c.store.Follow(ctx, table, after, wait)
}

// Apply implements platform.Rows.
func (r timedRows) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timeout)
	defer cancel()
	return r.c.store.Apply(ctx, txn)
}

// timedBlobs bounds each call on blobs, and allows a large one more time.
type timedBlobs struct{ c *Client }

// PutBlob implements platform.Blobs.
func (b timedBlobs) PutBlob(ctx context.Context, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.c.timeout*time.Duration(1+len(content)/bytesPerTimeout))
	defer cancel()
	return b.c.store.PutBlob(ctx, name, content)
}

// GetBlob implements platform.Blobs.
func (b timedBlobs) GetBlob(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*b.c.timeout)
	defer cancel()
	return b.c.store.GetBlob(ctx, name)
}

// DeleteBlob implements platform.Blobs.
func (b timedBlobs) DeleteBlob(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, b.c.timeout)
	defer cancel()
	return b.c.store.DeleteBlob(ctx, name)
}

// get performs a call of the VM list or the weight store. The caller closes the answer's body.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return response, nil
}

// decode reads a whole JSON value. A truncated answer is no answer.
func decode(body io.Reader, out any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: decode answer: %w", platform.ErrUnavailable, err)
	}
	return nil
}

// escape makes a name with slashes usable as a path.
func escape(name string) string { return (&url.URL{Path: name}).EscapedPath() }
