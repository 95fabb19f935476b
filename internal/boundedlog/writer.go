// Package boundedlog writes log lines without blocking whoever logs, and bounds their volume.
package boundedlog

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 1024
	// linesPerSecond and burstLines bound the volume: several lines for each request that a VM can serve.
	linesPerSecond = 200
	burstLines     = 1000
)

var droppedLines = metrics.NewCounter(`rosemarydyke_log_lines_dropped_total`)

// Writer passes lines on to an output. Lines that come too fast are dropped and counted.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	stopped chan struct{}
}

// NewWriter returns a writer to an output.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{
		lines:   make(chan []byte, queueLines),
		limit:   rate.NewLimiter(linesPerSecond, burstLines),
		stopped: make(chan struct{}),
	}
	go w.run(output)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		droppedLines.Inc()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// Close waits until all lines are written. Nothing may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.stopped
}

func (w *Writer) run(output io.Writer) {
	defer close(w.stopped)
	for line := range w.lines {
		if _, err := output.Write(line); err != nil {
			droppedLines.Inc()
		}
	}
}
