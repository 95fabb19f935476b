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

// stuck is an output that takes nothing until it is opened.
type stuck struct{ open chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.open
	return len(p), nil
}

func TestLinesAreWrittenInTheirOrder(t *testing.T) {
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

func TestAnOutputThatIsStuckBlocksNobody(t *testing.T) {
	output := stuck{make(chan struct{})}
	w := boundedlog.NewWriter(output)
	began := time.Now()
	for range 100_000 {
		_, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
	close(output.open)
	w.Close()
}

func TestTheVolumeIsBounded(t *testing.T) {
	var output bytes.Buffer
	w := boundedlog.NewWriter(&output)
	for range 100_000 {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close()
	lines := strings.Count(output.String(), "\n")
	qt.Assert(t, lines > 0 && lines < 10_000, qt.IsTrue, qt.Commentf("%d lines", lines))
}
