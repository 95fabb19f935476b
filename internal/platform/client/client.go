// Package client is a client of the platform's services: the table and the objects, which are kept in the platform's
// store, and the VM list and the weight store, which only the stand-in platform provides.
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
	// defaultTimeout limits one call if the configuration sets no timeout.
	defaultTimeout = 2 * time.Second
	// maxHeaderBytes limits the header of a response of the VM list or the weight store, and maxResponseBytes its body.
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 8 << 20
	// bytesPerTimeout is the content size for which a write is allowed one more timeout.
	bytesPerTimeout = 8 << 20
)

// Client calls the platform's services under one base URL. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	store   *store.Store
	http    *http.Client
}

// New returns a client of the services under baseURL. The timeout limits each call; zero means 2 s.
func New(baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: timeout,
		store:   store.NewStore(strings.TrimPrefix(strings.TrimSuffix(baseURL, "/"), "http://")),
		http:    &http.Client{Timeout: timeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}},
	}
}

// Table returns the table service.
func (c *Client) Table() platform.Table { return platform.NewTable(rowsWithTimeout{c}) }

// Objects returns the object store.
func (c *Client) Objects() platform.Objects { return platform.NewObjects(blobsWithTimeout{c}) }

// VMs returns the list of VMs.
func (c *Client) VMs() platform.VMList { return vmList{c} }

// Weights returns the weight store.
func (c *Client) Weights() platform.Weights { return weightStore{c} }

// Close closes idle connections.
func (c *Client) Close() {
	c.store.Close()
	c.http.CloseIdleConnections()
}

// rowsWithTimeout applies the client's timeout to each read and write of rows. Follow has a timeout of its own.
type rowsWithTimeout struct{ c *Client }

// Read implements platform.Rows.
func (r rowsWithTimeout) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timeout)
	defer cancel()
	return r.c.store.Read(ctx, table, part, keys)
}

// Follow implements platform.Rows.
func (r rowsWithTimeout) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	return r.c.store.Follow(ctx, table, after, wait)
}

// Apply implements platform.Rows.
func (r rowsWithTimeout) Apply(ctx context.Context, txn platform.RowTxn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.c.timeout)
	defer cancel()
	return r.c.store.Apply(ctx, txn)
}

// blobsWithTimeout applies the client's timeout to each call on blobs, and allows more time for large content.
type blobsWithTimeout struct{ c *Client }

// PutBlob implements platform.Blobs.
func (b blobsWithTimeout) PutBlob(ctx context.Context, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, b.c.timeout*time.Duration(1+len(content)/bytesPerTimeout))
	defer cancel()
	return b.c.store.PutBlob(ctx, name, content)
}

// GetBlob implements platform.Blobs.
func (b blobsWithTimeout) GetBlob(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*b.c.timeout)
	defer cancel()
	return b.c.store.GetBlob(ctx, name)
}

// DeleteBlob implements platform.Blobs.
func (b blobsWithTimeout) DeleteBlob(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, b.c.timeout)
	defer cancel()
	return b.c.store.DeleteBlob(ctx, name)
}

// get performs a call to the VM list or the weight store. The caller closes the body of the response.
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

// decode reads one JSON value. It fails with platform.ErrUnavailable if the response is truncated.
func decode(body io.Reader, out any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: decode answer: %w", platform.ErrUnavailable, err)
	}
	return nil
}

// escape escapes a name for use in a path. Slashes stay.
func escape(name string) string { return (&url.URL{Path: name}).EscapedPath() }
