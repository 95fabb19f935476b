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

// partBytes is the size of the objects that an uploaded file is cut into, so that a process never holds more of it.
const partBytes = 4 << 20

// ErrTooLarge means that an upload is longer than the limit.
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

// CreateFile stores content, which may be up to limit bytes long, and then its row.
func (s *Store) CreateFile(ctx context.Context, client, name, purpose string, content io.Reader, limit int64) (*File, error) {
	file := &File{ID: "file-" + s.newID(), Client: client, Name: name, Purpose: purpose, CreatedAt: s.now()}
	digest := sha256.New()
	buffer := make([]byte, partBytes)
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
			if putErr := s.putObject(ctx, partObject(file.ID, part), bytes.Clone(buffer[:n])); putErr != nil {
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
	// The id is ours alone, so a row under it can only be this write.
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

// OpenFile reads length bytes of an uploaded file from offset.
func (s *Store) OpenFile(ctx context.Context, id string, offset, length int64) io.Reader {
	return &rangeReader{length: length, open: func(done int64) (io.ReadCloser, error) {
		at := offset + done
		inPart := at % partBytes
		n := min(length-done, partBytes-inPart)
		return s.openObject(ctx, partObject(id, int(at/partBytes)), inPart, n)
	}}
}

// rangeReader reads a range of bytes that is spread over several objects.
type rangeReader struct {
	open    func(done int64) (io.ReadCloser, error)
	length  int64
	done    int64
	current io.ReadCloser
}

// Read implements io.Reader.
func (r *rangeReader) Read(p []byte) (int, error) {
	for {
		if r.current == nil {
			if r.done >= r.length {
				return 0, io.EOF
			}
			object, err := r.open(r.done)
			if err != nil {
				return 0, err
			}
			r.current = object
		}
		n, err := r.current.Read(p)
		r.done += int64(n)
		if errors.Is(err, io.EOF) {
			_ = r.current.Close()
			r.current = nil
			if n == 0 && r.done < r.length {
				// An object that is shorter than its row says must not end in a clean end of file.
				return 0, io.ErrUnexpectedEOF
			}
			err = nil
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
