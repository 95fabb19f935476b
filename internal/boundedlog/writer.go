// Package boundedlog writes log lines without blocking the logging goroutine, and limits their rate.
package boundedlog

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue of lines to write.
	queueLines = 1024
	// linesPerSecond and burstLines limit the rate of lines. They allow several lines for each request that a VM can
	// serve.
	linesPerSecond = 200
	burstLines     = 1000
)

var droppedLines = metrics.NewCounter(`rosemarydyke_log_lines_dropped_total`)

// Writer writes lines to an output asynchronously. Lines above the rate limit, or that do not fit the queue, are
// dropped and counted, as are lines that the output fails to write.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	done    chan struct{}
}

// NewWriter returns a Writer to output and starts its goroutine, which runs until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{
		lines:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done:    make(chan struct{}),
	}
	go w.run(output)
	return w
}

// Write implements io.Writer. It queues a copy of line and never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
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

// Close waits until all queued lines are written. Write must not be called after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run(output io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := output.Write(line); err != nil {
			droppedLines.Inc()
		}
	}
}
