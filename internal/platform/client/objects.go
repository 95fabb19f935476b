package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/wire"
)

// bytesPerTimeout is the content size for which the timeout is extended by its own length once.
const bytesPerTimeout = 8 << 20

type objects struct{ c *Client }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.transferTimeout(int64(len(content))))
	defer cancel()
	response, err := o.c.send(ctx, http.MethodPut, objectPath(name), content, nil)
	if err != nil {
		return asWrite(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("%w: %q", platform.ErrExists, name)
	default:
		return asWrite(&callError{sent: true, cause: readStatusError(response)})
	}
}

// Get implements platform.Objects. A connection that breaks while the content is read makes Read fail
// with platform.ErrUnavailable.
func (o objects) Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	if length == 0 {
		return http.NoBody, nil
	}
	response, err := o.c.send(ctx, http.MethodGet, objectPath(name), nil, rangeHeader(offset, length))
	if err != nil {
		return nil, asRead(err)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
		return objectBody{response.Body}, nil
	case http.StatusRequestedRangeNotSatisfiable:
		_ = response.Body.Close()
		return http.NoBody, nil
	default:
		return nil, objectError(response, name)
	}
}

// Size implements platform.Objects.
func (o objects) Size(ctx context.Context, name string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.c.timeout)
	defer cancel()
	response, err := o.c.send(ctx, http.MethodHead, objectPath(name), nil, nil)
	if err != nil {
		return 0, asRead(err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, objectError(response, name)
	}
	defer func() { _ = response.Body.Close() }()
	return response.ContentLength, nil
}

// Delete implements platform.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, o.c.timeout)
	defer cancel()
	response, err := o.c.send(ctx, http.MethodDelete, objectPath(name), nil, nil)
	if err != nil {
		return asWrite(err)
	}
	if response.StatusCode != http.StatusOK {
		return objectError(response, name)
	}
	return response.Body.Close()
}

// transferTimeout allows a large object more time than a call of the table.
func (o objects) transferTimeout(size int64) time.Duration {
	return o.c.timeout * time.Duration(1+size/bytesPerTimeout)
}

func objectPath(name string) string { return wire.PrefixObjects + escape(name) }

// objectError closes the answer and returns its error.
func objectError(response *http.Response, name string) error {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%w: %q", platform.ErrNotFound, name)
	}
	return asRead(&callError{sent: true, cause: readStatusError(response)})
}

func rangeHeader(offset, length int64) http.Header {
	switch {
	case offset == 0 && length < 0:
		return nil
	case length < 0:
		return http.Header{"Range": {fmt.Sprintf("bytes=%d-", offset)}}
	default:
		return http.Header{"Range": {fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)}}
	}
}

// objectBody maps a broken transfer to the error of a read.
type objectBody struct{ body io.ReadCloser }

// Read implements io.Reader.
func (b objectBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		return n, asRead(&callError{sent: true, cause: err})
	}
	return n, err
}

// Close implements io.Closer.
func (b objectBody) Close() error { return b.body.Close() }
