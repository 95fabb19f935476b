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

// Blobs is a store of immutable blobs of a limited size.
type Blobs interface {
	// PutBlob stores a blob. It fails with ErrExists if a blob of that name exists, and with ErrUnavailable or
	// ErrOutcomeUnknown.
	PutBlob(ctx context.Context, name string, content []byte) error
	// GetBlob reads a blob. It fails with ErrNotFound or ErrUnavailable.
	GetBlob(ctx context.Context, name string) ([]byte, error)
	// DeleteBlob removes a blob. Removing an absent blob succeeds.
	DeleteBlob(ctx context.Context, name string) error
}

const (
	// chunkBytes is the size of a chunk: half of the largest blob that the store allows.
	chunkBytes = 4 << 20
	// sizeHeaderBytes is the size of the header of the first chunk, which holds the object's size.
	sizeHeaderBytes = 8
)

// chunkedObjects stores each object as one or more blobs. The first chunk has the object's name and is written last, so
// that an object is either complete or absent.
type chunkedObjects struct{ blobs Blobs }

// NewObjects returns an object store on top of a store of blobs.
func NewObjects(blobs Blobs) Objects { return chunkedObjects{blobs} }

func chunkName(name string, chunk int) string {
	if chunk == 0 {
		return name
	}
	return name + "~" + strconv.Itoa(chunk)
}

func chunkCount(size int64) int { return max(1, int((size+chunkBytes-1)/chunkBytes)) }

// Put implements Objects.
func (o chunkedObjects) Put(ctx context.Context, name string, content []byte) error {
	for chunk := chunkCount(int64(len(content))) - 1; chunk >= 0; chunk-- {
		part := content[min(chunk*chunkBytes, len(content)):min((chunk+1)*chunkBytes, len(content))]
		if chunk == 0 {
			part = append(binary.BigEndian.AppendUint64(nil, uint64(len(content))), part...)
		}
		if err := o.putOnce(ctx, chunkName(name, chunk), part); err != nil {
			return err
		}
	}
	return nil
}

// putOnce stores a blob. It succeeds if the blob exists with the same content.
func (o chunkedObjects) putOnce(ctx context.Context, name string, content []byte) error {
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

// readFirstChunk returns the first chunk and the size of an object.
func (o chunkedObjects) readFirstChunk(ctx context.Context, name string) ([]byte, int64, error) {
	blob, err := o.blobs.GetBlob(ctx, name)
	if err != nil {
		return nil, 0, err
	}
	if len(blob) < sizeHeaderBytes {
		return nil, 0, fmt.Errorf("object %q has %d bytes, less than its header", name, len(blob))
	}
	return blob[sizeHeaderBytes:], int64(binary.BigEndian.Uint64(blob)), nil
}

// Get implements Objects.
func (o chunkedObjects) Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	if length == 0 {
		return io.NopCloser(bytes.NewReader(nil)), nil
	}
	first, size, err := o.readFirstChunk(ctx, name)
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
func (o chunkedObjects) Size(ctx context.Context, name string) (int64, error) {
	_, size, err := o.readFirstChunk(ctx, name)
	return size, err
}

// Delete implements Objects.
func (o chunkedObjects) Delete(ctx context.Context, name string) error {
	_, size, err := o.readFirstChunk(ctx, name)
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
	// chunks holds the chunk that was read last, initially the first one.
	chunks map[int][]byte
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.offset >= r.end {
		return 0, io.EOF
	}
	chunk := int(r.offset / chunkBytes)
	content, ok := r.chunks[chunk]
	if !ok {
		var err error
		if content, err = r.blobs.GetBlob(r.ctx, chunkName(r.name, chunk)); err != nil {
			return 0, err
		}
		r.chunks = map[int][]byte{chunk: content}
	}
	chunkOffset := r.offset % chunkBytes
	if chunkOffset >= int64(len(content)) {
		return 0, fmt.Errorf("chunk %d of object %q is too short: %w", chunk, r.name, io.ErrUnexpectedEOF)
	}
	n := copy(p[:min(int64(len(p)), r.end-r.offset)], content[chunkOffset:])
	r.offset += int64(n)
	return n, nil
}

// Close implements io.Closer.
func (r *chunkReader) Close() error { return nil }
