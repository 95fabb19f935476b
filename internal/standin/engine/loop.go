package engine

import (
	"context"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/text"
)

// freezePoll is how often a frozen engine looks whether the fault has ended.
const freezePoll = 10 * time.Millisecond

// Reasons why a completion ended.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// job is a sequence together with its text.
type job struct {
	sequence  *batching.Sequence
	generator *text.Generator
	poison    bool
	limit     int
	generated int
	// tokens holds the whole completion, so that a slow reader never holds the engine up.
	tokens chan string
	// finish is set before tokens is closed.
	finish string
}

func (e *Engine) newJob(prompt string, limit int, ignoreEnd bool) *job {
	return &job{
		sequence: &batching.Sequence{
			PromptTokens: text.Tokens(prompt),
			Blocks:       text.PrefixBlocks(prompt),
			BlockTokens:  text.BlockTokens,
		},
		generator: text.NewGenerator(prompt, e.cfg.MeanTokens, ignoreEnd),
		poison:    e.cfg.CrashPrompt != "" && strings.Contains(prompt, e.cfg.CrashPrompt),
		limit:     limit,
		tokens:    make(chan string, limit),
	}
}

// submit queues a job and wakes the loop.
func (e *Engine) submit(j *job) {
	e.mu.Lock()
	e.jobs[j.sequence] = j
	e.core.Submit(j.sequence)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel frees a job's slot. It does nothing when the job has ended.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.jobs, j.sequence)
	e.core.Remove(j.sequence)
}

// loop runs steps one after the other until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	defer close(e.stopped)
	due := time.Now()
	for ctx.Err() == nil {
		if _, frozen := e.cfg.Faults.Has(e.cfg.Name, fault.Freeze); frozen {
			sleepUntil(ctx, time.Now().Add(freezePoll))
			continue
		}
		core, step, busy := e.plan()
		if !busy {
			e.awaitWork(ctx)
			due = time.Now()
			continue
		}
		// Counting from the last due time keeps the engine's speed exact when the timer fires late.
		due = due.Add(step.Duration + e.extraDelay())
		sleepUntil(ctx, due)
		if e.complete(core, step) {
			e.Crash(0)
		}
	}
}

func (e *Engine) plan() (*batching.Core, batching.Step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	step, busy := e.core.Plan()
	e.recordCacheEvents(step.CacheEvents, time.Now())
	e.sampleLoad(time.Now())
	return e.core, step, busy
}

func (e *Engine) extraDelay() time.Duration {
	if f, ok := e.cfg.Faults.Has(e.cfg.Name, fault.Slow); ok {
		return f.Delay()
	}
	return 0
}

func (e *Engine) awaitWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// complete hands out the step's tokens. It returns true when a request in the step crashes the engine.
func (e *Engine) complete(core *batching.Core, step batching.Step) (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if core != e.core {
		return false
	}
	for _, s := range step.Live() {
		j, ok := e.jobs[s]
		if !ok {
			continue
		}
		if j.poison {
			return true
		}
		j.advance()
		if j.finish != "" {
			e.core.Remove(s)
			delete(e.jobs, s)
			close(j.tokens)
		}
	}
	return false
}

// advance makes one token and decides whether it was the last.
func (j *job) advance() {
	if token, ok := j.generator.Next(); ok {
		j.tokens <- token
		j.generated++
	}
	switch {
	case j.generator.Ended():
		j.finish = finishStop
	case j.generated >= j.limit:
		j.finish = finishLength
	}
}

func sleepUntil(ctx context.Context, due time.Time) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
