package jobstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
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
		n, err := io.ReadFull(content, buffer)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
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

// OpenFile returns a reader of length bytes of an uploaded file, starting at offset.
func (s *Store) OpenFile(ctx context.Context, id string, offset, length int64) io.Reader {
	return &rangeReader{length: length, openAt: func(bytesRead int64) (io.ReadCloser, error) {
		position := offset + bytesRead
		partOffset := position % filePartBytes
		n := min(length-bytesRead, filePartBytes-partOffset)
		return s.openObject(ctx, filePartObject(id, int(position/filePartBytes)), partOffset, n)
	}}
}

// rangeReader reads a byte range that spans several objects.
type rangeReader struct {
	openAt    func(bytesRead int64) (io.ReadCloser, error)
	length    int64
	bytesRead int64
	current   io.ReadCloser
}

// Read implements io.Reader.
func (r *rangeReader) Read(p []byte) (int, error) {
	for {
		if r.current == nil {
			if r.bytesRead >= r.length {
				return 0, io.EOF
			}
			object, err := r.openAt(r.bytesRead)
			if err != nil {
				return 0, err
			}
			r.current = object
		}
		n, err := r.current.Read(p)
		r.bytesRead += int64(n)
		if errors.Is(err, io.EOF) {
			_ = r.current.Close()
			r.current = nil
			if n == 0 && r.bytesRead < r.length {
				// A truncated object must not look like the regular end of the file.
				return 0, io.ErrUnexpectedEOF
			}
			err = nil
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
