package boundedlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/boundedlog"
)

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct{ unblock chan struct{} }

func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var output bytes.Buffer
	w := boundedlog.NewWriter(&output)
	var want strings.Builder
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		n, err := w.Write([]byte(line))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	w.Close()
	qt.Assert(t, output.String(), qt.Equals, want.String())
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	output := blockedOutput{make(chan struct{})}
	w := boundedlog.NewWriter(output)
	start := time.Now()
	for range 100_000 {
		_, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	close(output.unblock)
	w.Close()
}

func TestVolumeIsBounded(t *testing.T) {
	var output bytes.Buffer
	w := boundedlog.NewWriter(&output)
	for range 100_000 {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close()
	lines := strings.Count(output.String(), "\n")
	qt.Assert(t, lines > 0 && lines < 10_000, qt.IsTrue, qt.Commentf("%d lines", lines))
}
