package experiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 16

var (
	errCrashed     = errors.New("experiment: engine crashed")
	errUnreachable = errors.New("experiment: engine is down")
)

// engine is an emulated engine.
type engine struct {
	name string
	wake chan struct{}

	mu   sync.Mutex
	core *batching.Core
	jobs map[*batching.Sequence]*job
	down bool
}

// job is one request in an engine.
type job struct {
	sequence  *batching.Sequence
	remaining int
	tokens    int
	firstAt   time.Time
	lastAt    time.Time
	// gaps are the times between tokens.
	gaps []time.Duration
	// first is closed at the first token, done when the job ends.
	first, done chan struct{}
	// err is set before done is closed.
	err error
}

func newEngine(name string, cfg batching.Config) *engine {
	return &engine{
		name: name, wake: make(chan struct{}, 1),
		core: batching.NewCore(cfg), jobs: map[*batching.Sequence]*job{},
	}
}

// start queues a request that generates output tokens. Its prompt consists of prefixTokens tokens of the shared
// prefix and promptTokens tokens of its own.
func (e *engine) start(prefix uint64, prefixTokens, promptTokens, output int) (*job, error) {
	j := &job{
		sequence: &batching.Sequence{
			PromptTokens: prefixTokens + promptTokens,
			Blocks:       prefixBlocks(prefix, prefixTokens),
			BlockTokens:  blockTokens,
		},
		remaining: output,
		first:     make(chan struct{}),
		done:      make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errUnreachable
	}
	e.jobs[j.sequence] = j
	e.core.Submit(j.sequence)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j, nil
}

// prefixBlocks returns the hashes of the blocks of a shared prefix.
func prefixBlocks(prefix uint64, tokens int) []uint64 {
	blocks := make([]uint64, tokens/blockTokens)
	for i := range blocks {
		blocks[i] = prefix<<16 | uint64(i+1)
	}
	return blocks
}

// cancel ends a request and frees its slot. It does nothing if the request has ended.
func (e *engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, running := e.jobs[j.sequence]; running {
		e.core.Remove(j.sequence)
		e.end(j, context.Canceled)
	}
}

func (e *engine) end(j *job, err error) {
	delete(e.jobs, j.sequence)
	j.err = err
	close(j.done)
}

// crash ends all requests and refuses new ones until restart.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for _, j := range e.jobs {
		e.core.Remove(j.sequence)
		e.end(j, errCrashed)
	}
}

// restart makes the engine accept requests again, with an empty cache.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.core = batching.NewCore(e.core.Config())
}

// run runs one step after another until ctx ends.
func (e *engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		core, step, ok := e.plan()
		if !ok {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(step.Duration)
		e.complete(core, step)
	}
}

func (e *engine) plan() (*batching.Core, batching.Step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	step, busy := e.core.Plan()
	return e.core, step, busy
}

func (e *engine) complete(core *batching.Core, step batching.Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if core != e.core {
		return
	}
	now := time.Now()
	for _, sequence := range step.Live() {
		if j, ok := e.jobs[sequence]; ok {
			e.emit(j, now)
		}
	}
}

// emit records the next token of a request, and ends the request at its last.
func (e *engine) emit(j *job, now time.Time) {
	j.tokens++
	j.remaining--
	if j.tokens == 1 {
		j.firstAt = now
		close(j.first)
	} else {
		j.gaps = append(j.gaps, now.Sub(j.lastAt))
	}
	j.lastAt = now
	if j.remaining <= 0 {
		e.core.Remove(j.sequence)
		e.end(j, nil)
	}
}
