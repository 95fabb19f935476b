package jobstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// filePartBytes is the size of the objects into which an uploaded file is split. A process holds one part in memory at a time.
const filePartBytes = 4 << 20

// ErrTooLarge means that an upload exceeds the limit.
var ErrTooLarge = errors.New("jobstore: file is too large")

// File is the row of an uploaded file.
type File struct {
	ID        string    `cbor:"1,keyasint"`
	Client    string    `cbor:"2,keyasint"`
	Name      string    `cbor:"3,keyasint"`
	Purpose   string    `cbor:"4,keyasint"`
	Bytes     int64     `cbor:"5,keyasint"`
	SHA256    string    `cbor:"6,keyasint"`
	CreatedAt time.Time `cbor:"7,keyasint"`
}

// CreateFile stores content and then its row. It fails with ErrTooLarge if content is longer than limit bytes.
func (s *Store) CreateFile(ctx context.Context, client, name, purpose string, content io.Reader, limit int64) (*File, error) {
	file := &File{ID: "file-" + s.newID(), Client: client, Name: name, Purpose: purpose, CreatedAt: s.now()}
	digest := sha256.New()
	buffer := make([]byte, filePartBytes)
	for part := 0; ; part++ {
		n, err := fill(buffer, content)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		file.Bytes += int64(n)
		if file.Bytes > limit {
			return nil, ErrTooLarge
		}
		if n > 0 {
			digest.Write(buffer[:n])
			if putErr := s.putObject(ctx, filePartObject(file.ID, part), bytes.Clone(buffer[:n])); putErr != nil {
				return nil, putErr
			}
		}
		if err != nil {
			break
		}
	}
	file.SHA256 = hex.EncodeToString(digest.Sum(nil))
	key := fileKey(file.ID)
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: mustEncode(file)}},
	}
	// The ID is new, so a row with it can only come from this write.
	_, err := s.commit(ctx, txn, key, func(row platform.Row) bool { return row.Version != 0 })
	return file, err
}

// fill reads until the buffer is full or content ends. Unlike io.ReadFull, it tells the end of the content (io.EOF) from content that
// was cut off, which readers report as io.ErrUnexpectedEOF.
func fill(buffer []byte, content io.Reader) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = content.Read(buffer[n:])
		n += read
	}
	return n, err
}

// File returns the row of a client's file.
func (s *Store) File(ctx context.Context, client, id string) (*File, error) {
	rows, err := s.table.Get(ctx, fileKey(id))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, ErrNotFound
	}
	file := new(File)
	if err := decode(rows[0], file); err != nil {
		return nil, err
	}
	if file.Client != client {
		return nil, ErrNotFound
	}
	return file, nil
}

// IncompleteFileError means that a part of an uploaded file is missing or truncated in the object store.
type IncompleteFileError struct {
	File string
	// Offset is the position of the first byte that is missing.
	Offset int64
	Cause  error
}

// Error implements error.
func (e *IncompleteFileError) Error() string {
	return fmt.Sprintf("file %q is incomplete from byte %d on: %v", e.File, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteFileError) Unwrap() error { return e.Cause }

// OpenFile returns a reader of length bytes of an uploaded file, starting at offset. It fails with *IncompleteFileError if
// the file is shorter.
func (s *Store) OpenFile(ctx context.Context, id string, offset, length int64) io.Reader {
	return &rangeReader{
		length: length,
		openAt: func(bytesRead int64) (io.ReadCloser, int64, error) {
			position := offset + bytesRead
			partOffset := position % filePartBytes
			n := min(length-bytesRead, filePartBytes-partOffset)
			object, err := s.openObject(ctx, filePartObject(id, int(position/filePartBytes)), partOffset, n)
			return object, n, err
		},
		explain: func(bytesRead int64, err error) error {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, platform.ErrNotFound) {
				return &IncompleteFileError{File: id, Offset: offset + bytesRead, Cause: err}
			}
			return err
		},
	}
}

// rangeReader reads a byte range that spans several objects.
type rangeReader struct {
	// openAt opens the object at a position of the range, and returns how many bytes of the range it holds.
	openAt func(bytesRead int64) (object io.ReadCloser, length int64, err error)
	// explain adds to an error where it occurred.
	explain   func(bytesRead int64, err error) error
	length    int64
	bytesRead int64
	current   io.ReadCloser
	// left is the number of bytes that are left to read from current.
	left int64
}

// Read implements io.Reader. Objects may end with their last bytes or at the next call.
func (r *rangeReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.current == nil {
		if r.bytesRead >= r.length {
			return 0, io.EOF
		}
		object, length, err := r.openAt(r.bytesRead)
		if err != nil {
			return 0, r.explain(r.bytesRead, err)
		}
		r.current, r.left = object, length
	}
	n, err := r.current.Read(p[:min(int64(len(p)), r.left)])
	r.bytesRead += int64(n)
	r.left -= int64(n)
	if err == nil && r.left > 0 {
		return n, nil
	}
	_ = r.current.Close()
	r.current = nil
	if r.left == 0 {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		// A truncated object must not look like the regular end of the file.
		err = io.ErrUnexpectedEOF
	}
	return n, r.explain(r.bytesRead, err)
}
