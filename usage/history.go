package usage

import "time"

const (
	// historySteps divide the Window.
	historySteps = 100
	historyStep  = Window / historySteps
)

// history holds the number of requests that were allowed in the last Window. It never states too few: those of a step count until
// the whole step lies before the Window.
type history struct {
	steps [historySteps + 1]uint16
	// newest is the number of the present step since the beginning of time.
	newest int64
	total  int
}

// advance drops the requests from before the Window.
func (h *history) advance(at time.Duration) {
	step := int64(at / historyStep)
	for ; h.newest < step && h.total > 0; h.newest++ {
		oldest := &h.steps[(h.newest+1)%int64(len(h.steps))]
		h.total -= int(*oldest)
		*oldest = 0
	}
	h.newest = step
}

func (h *history) add() {
	h.steps[h.newest%int64(len(h.steps))]++
	h.total++
}

// remove takes back the latest request, since it is not known which one has not run.
func (h *history) remove() {
	for i := range int64(len(h.steps)) {
		if step := &h.steps[(h.newest+int64(len(h.steps))-i)%int64(len(h.steps))]; *step > 0 {
			*step--
			h.total--
			return
		}
	}
}

// nextDrop returns the time until the oldest requests are dropped.
func (h *history) nextDrop(at time.Duration) time.Duration {
	for i := int64(1); i <= int64(len(h.steps)); i++ {
		if h.steps[(h.newest+i)%int64(len(h.steps))] > 0 {
			return time.Duration(h.newest+i)*historyStep - at
		}
	}
	return 0
}
