package jobstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/client"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
)

// pattern returns content that differs at each position of a part.
func pattern(size int) []byte {
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(i>>16 ^ i>>8 ^ i)
	}
	return content
}

// Files of more than one part were taken for truncated, so that no batch could be created from them.
func TestFileIsReadBackWhole(t *testing.T) {
	direct := memory.New()
	server := httptest.NewServer(platformserver.New(platformserver.Config{}))
	t.Cleanup(server.Close)
	remote := client.New(server.URL, 10*time.Second)
	for driver, store := range map[string]*Store{
		"memory": New(direct, direct.Objects()),
		"HTTP":   New(remote.Table(), remote.Objects()),
	} {
		for _, size := range []int{0, 1, filePartBytes - 1, filePartBytes, filePartBytes + 1, 2 * filePartBytes, 3*filePartBytes + 12345} {
			t.Run(fmt.Sprintf("%s, %d bytes", driver, size), func(t *testing.T) {
				content := pattern(size)
				file, err := store.CreateFile(t.Context(), "a", "in.jsonl", "batch", bytes.NewReader(content), 1<<30)
				qt.Assert(t, err, qt.IsNil)
				got, err := io.ReadAll(store.OpenFile(t.Context(), file.ID, 0, file.Bytes))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Equal(got, content), qt.IsTrue)
				from, to := size/3, size-size/5
				got, err = io.ReadAll(store.OpenFile(t.Context(), file.ID, int64(from), int64(to-from)))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Equal(got, content[from:to]), qt.IsTrue)
			})
		}
	}
}

func TestRangeReader(t *testing.T) {
	const part = 10
	content := pattern(3*part + 4)
	// open returns a reader of the rest of a part, which ends as wrap makes it, and is short by some bytes.
	open := func(wrap func(io.Reader) io.Reader, missing int) *rangeReader {
		return &rangeReader{length: int64(len(content)), explain: func(_ int64, err error) error { return err }, openAt: func(read int64) (io.ReadCloser, int64, error) {
			end := min((read/part+1)*part, int64(len(content)))
			return io.NopCloser(wrap(bytes.NewReader(content[read : end-int64(missing)]))), end - read, nil
		}}
	}
	plain := func(r io.Reader) io.Reader { return r }
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"end after the last bytes": plain, "end with the last bytes": iotest.DataErrReader, "one byte at a time": iotest.OneByteReader,
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, iotest.TestReader(open(wrap, 0), content), qt.IsNil)
		})
		t.Run(name+", truncated", func(t *testing.T) {
			_, err := io.ReadAll(open(wrap, 1))
			qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestMissingPartOfAFileIsNamed(t *testing.T) {
	p := memory.New()
	store := New(p, p.Objects())
	file, err := store.CreateFile(t.Context(), "a", "in.jsonl", "batch", bytes.NewReader(pattern(2*filePartBytes)), 1<<30)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.Objects().Delete(context.Background(), filePartObject(file.ID, 1)), qt.IsNil)
	_, err = io.ReadAll(store.OpenFile(t.Context(), file.ID, 0, file.Bytes))
	var incomplete *IncompleteFileError
	qt.Assert(t, errors.As(err, &incomplete), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, incomplete.File, qt.Equals, file.ID)
	qt.Assert(t, incomplete.Offset, qt.Equals, int64(filePartBytes))
	qt.Assert(t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
}
