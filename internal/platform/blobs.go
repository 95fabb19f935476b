package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Blobs is a store of whole objects of a bounded size.
type Blobs interface {
	// PutBlob stores a blob. It fails with ErrExists when there is one of that name, and with ErrUnavailable or
	// ErrOutcomeUnknown.
	PutBlob(ctx context.Context, name string, content []byte) error
	// GetBlob reads a blob. It fails with ErrNotFound or ErrUnavailable.
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DeleteBlob removes a blob. Removing an absent one succeeds.
	DeleteBlob(ctx context.Context, name string) error
}

const (
	// objectChunk is the content of one blob, in bytes: half of what the store allows.
	objectChunk = 4 << 20
	// objectHeader is the length of the object in front of its first chunk, in bytes.
	objectHeader = 8
)

// chunked keeps objects as blobs. The first chunk has the object's name and is written last, so that an
// object either is whole or does not exist.
type chunked struct{ blobs Blobs }

// NewObjects returns the Objects that are kept in a store of blobs.
func NewObjects(blobs Blobs) Objects { return chunked{blobs} }

func chunkName(name string, chunk int) string {
	if chunk == 0 {
		return name
	}
	return name + "~" + strconv.Itoa(chunk)
}

func chunkCount(size int64) int { return max(1, int((size+objectChunk-1)/objectChunk)) }

// Put implements Objects.
func (o chunked) Put(ctx context.Context, name string, content []byte) error {
	for chunk := chunkCount(int64(len(content))) - 1; chunk >= 0; chunk-- {
		part := content[min(chunk*objectChunk, len(content)):min((chunk+1)*objectChunk, len(content))]
		if chunk == 0 {
			part = append(binary.BigEndian.AppendUint64(nil, uint64(len(content))), part...)
		}
		if err := o.putOnce(ctx, chunkName(name, chunk), part); err != nil {
			return err
		}
	}
	return nil
}

// putOnce stores a blob, or finds it stored with the same content.
func (o chunked) putOnce(ctx context.Context, name string, content []byte) error {
	err := o.blobs.PutBlob(ctx, name, content)
	if !errors.Is(err, ErrExists) {
		return err
	}
	present, err := o.blobs.GetBlob(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(present, content) {
		return fmt.Errorf("%w: %q", ErrExists, name)
	}
	return nil
}

// first reads the first chunk and the size of an object.
func (o chunked) first(ctx context.Context, name string) ([]byte, int64, error) {
	blob, err := o.blobs.GetBlob(ctx, name)
	if err != nil {
		return nil, 0, err
	}
	if len(blob) < objectHeader {
		return nil, 0, fmt.Errorf("object %q has %d bytes, less than its header", name, len(blob))
	}
	return blob[objectHeader:], int64(binary.BigEndian.Uint64(blob)), nil
}

// Get implements Objects.
func (o chunked) Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	if length == 0 {
		return io.NopCloser(bytes.NewReader(nil)), nil
	}
	first, size, err := o.first(ctx, name)
	if err != nil {
		return nil, err
	}
	end := size
	if length > 0 {
		end = min(size, offset+length)
	}
	reader := &chunkReader{ctx: ctx, blobs: o.blobs, name: name, offset: min(offset, size), end: end}
	reader.chunks = map[int][]byte{0: first}
	return reader, nil
}

// Size implements Objects.
func (o chunked) Size(ctx context.Context, name string) (int64, error) {
	_, size, err := o.first(ctx, name)
	return size, err
}

// Delete implements Objects.
func (o chunked) Delete(ctx context.Context, name string) error {
	_, size, err := o.first(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	for chunk := range chunkCount(size) {
		if err := o.blobs.DeleteBlob(ctx, chunkName(name, chunk)); err != nil {
			return err
		}
	}
	return nil
}

// chunkReader reads a range of an object, a chunk at a time.
type chunkReader struct {
	ctx         context.Context
	blobs       Blobs
	name        string
	offset, end int64
	// chunks holds the chunk that was read last, and the first one at the beginning.
	chunks map[int][]byte
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.offset >= r.end {
		return 0, io.EOF
	}
	chunk := int(r.offset / objectChunk)
	content, ok := r.chunks[chunk]
	if !ok {
		var err error
		if content, err = r.blobs.GetBlob(r.ctx, chunkName(r.name, chunk)); err != nil {
			return 0, err
		}
		r.chunks = map[int][]byte{chunk: content}
	}
	within := r.offset % objectChunk
	if within >= int64(len(content)) {
		return 0, fmt.Errorf("chunk %d of object %q is too short: %w", chunk, r.name, io.ErrUnexpectedEOF)
	}
	n := copy(p[:min(int64(len(p)), r.end-r.offset)], content[within:])
	r.offset += int64(n)
	return n, nil
}

// Close implements io.Closer.
func (r *chunkReader) Close() error { return nil }
