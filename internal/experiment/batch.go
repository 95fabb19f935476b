package experiment

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

// batchClientOffset makes the prompt prefixes of batch items differ from those of online requests.
const batchClientOffset = 1000

// item is one batch item. A preempted item keeps its generated tokens and prefills them again when it resumes.
type item struct {
	size      requestSize
	generated int
	// attempts counts the runs of the item.
	attempts int
}

// backlog is a batch job with an unlimited number of items.
type backlog struct {
	mu       sync.Mutex
	random   *rand.Rand
	sizes    RequestSizes
	requeued []*item
	counts   BatchCounts
}

// BatchCounts sums up the batch work of a run.
type BatchCounts struct {
	Items  int `json:"items"`
	Tokens int `json:"tokens"`
	// Preemptions counts the runs of items that were interrupted, to make room or by a fault.
	Preemptions int `json:"preemptions"`
	// TokensPrefilledAgain counts prompt and generated tokens that were prefilled more than once.
	TokensPrefilledAgain int `json:"tokens_prefilled_again"`
}

func (b *backlog) next() *item {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.requeued); n > 0 {
		it := b.requeued[n-1]
		b.requeued = b.requeued[:n-1]
		return it
	}
	return &item{size: b.sizes.draw(b.random)}
}

// endRun records the end of an item's run and requeues the item if it is not completed. A nil job means that the run
// did not start.
func (b *backlog) endRun(it *item, j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j != nil {
		it.generated += j.tokens
		b.counts.Tokens += j.tokens
		if j.err == nil {
			b.counts.Items++
			return
		}
		b.counts.Preemptions++
	}
	b.requeued = append(b.requeued, it)
}

// start starts an item on an engine.
func (b *backlog) start(e *engine, it *item) (*job, error) {
	j, err := e.start(uint64(batchClientOffset+it.size.client), b.sizes.Prefix, it.size.prompt+it.generated, it.size.output-it.generated)
	if err != nil {
		return nil, err
	}
	if it.attempts++; it.attempts > 1 {
		b.mu.Lock()
		b.counts.TokensPrefilledAgain += it.size.prompt + it.generated
		b.mu.Unlock()
	}
	return j, nil
}

// fill keeps a fixed number of items running on an engine until ctx ends. delay is the one-way delay to the engine.
func (b *backlog) fill(ctx context.Context, e *engine, items int, delay time.Duration) {
	for range items {
		go func() {
			for ctx.Err() == nil {
				it := b.next()
				time.Sleep(delay)
				j, err := b.start(e, it)
				if err != nil {
					b.endRun(it, nil)
					time.Sleep(time.Second)
					continue
				}
				select {
				case <-j.done:
				case <-ctx.Done():
					e.cancel(j)
					<-j.done
				}
				b.endRun(it, j)
			}
		}()
	}
}

// worker emulates the batch process of one VM. It runs an item in each slot that its entry grants.
type worker struct {
	vm       *vm
	backlog  *backlog
	incoming chan batchslots.ToEntry

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

// startWorker connects a worker to its entry. The worker requests all slots of the fleet.
func startWorker(v *vm, b *backlog) {
	w := &worker{vm: v, backlog: b, incoming: make(chan batchslots.ToEntry, 4096), running: map[uint64]context.CancelFunc{}}
	p := v.fleet.profile
	w.incoming <- batchslots.ToEntry{Demand: &batchslots.Demand{
		Wants: []batchslots.Want{{Model: modelName, Slots: p.Engines * p.Engine.Slots}},
	}}
	go func() { _ = v.streams[batchslots.Method](v.ctx, peer.Identity{VM: v.self.VM}, w) }()
}

// Send implements peer.Stream.
func (w *worker) Send(message any) error {
	m := message.(batchslots.ToBatch)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case m.Granted != nil:
		ctx, cancel := context.WithCancel(w.vm.ctx)
		w.running[m.Granted.Slot] = cancel
		go w.run(ctx, *m.Granted)
	case m.Revoked != nil:
		if cancel, ok := w.running[m.Revoked.Slot]; ok {
			cancel()
		}
	}
	return nil
}

// Receive implements peer.Stream.
func (w *worker) Receive(into any) error {
	select {
	case message := <-w.incoming:
		*into.(*batchslots.ToEntry) = message
		return nil
	case <-w.vm.ctx.Done():
		return io.EOF
	}
}

// Close implements peer.Stream.
func (w *worker) Close() error { return nil }

func (w *worker) run(ctx context.Context, granted batchslots.Granted) {
	started := time.Now()
	e := w.vm.fleet.byName[granted.Target]
	it := w.backlog.next()
	delay := w.vm.fleet.engineDelay(w.vm, e)
	time.Sleep(delay)
	j, err := w.backlog.start(e, it)
	if err != nil {
		w.backlog.endRun(it, nil)
		w.releaseSlot(granted.Slot, admission.Outcome{End: admission.EndUnreachable})
		return
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		time.Sleep(delay)
		e.cancel(j)
		<-j.done
	}
	w.backlog.endRun(it, j)
	time.Sleep(delay)
	w.releaseSlot(granted.Slot, outcomeOf(j, started))
}

func (w *worker) releaseSlot(id uint64, outcome admission.Outcome) {
	w.mu.Lock()
	if cancel, ok := w.running[id]; ok {
		cancel()
		delete(w.running, id)
	}
	w.mu.Unlock()
	select {
	case w.incoming <- batchslots.ToEntry{Released: &batchslots.Released{Slot: id, Outcome: outcome}}:
	case <-w.vm.ctx.Done():
	}
}
