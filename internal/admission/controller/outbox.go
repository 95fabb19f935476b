package controller

import (
	"sync"

	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// outbox queues messages for a stream, so that sending never blocks the controller. Its length is bounded by the
// number of slots that can be granted and revoked.
type outbox struct {
	mu       sync.Mutex
	ready    *sync.Cond
	messages []batchslots.ToBatch
	closed   bool
}

func newOutbox() *outbox {
	o := &outbox{}
	o.ready = sync.NewCond(&o.mu)
	return o
}

func (o *outbox) send(message batchslots.ToBatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.messages = append(o.messages, message)
	o.ready.Signal()
}

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.ready.Broadcast()
}

// drainTo sends the queued messages to the stream until the outbox is closed or sending fails, and then closes the
// stream.
func (o *outbox) drainTo(stream peer.Stream) {
	defer func() { _ = stream.Close() }()
	for {
		messages, ok := o.take()
		if !ok {
			return
		}
		for _, message := range messages {
			if err := stream.Send(message); err != nil {
				return
			}
		}
	}
}

func (o *outbox) take() ([]batchslots.ToBatch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.messages) == 0 && !o.closed {
		o.ready.Wait()
	}
	if o.closed {
		return nil, false
	}
	messages := o.messages
	o.messages = nil
	return messages, true
}
