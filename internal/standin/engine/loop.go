package engine

import (
	"context"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/text"
)

// freezePollInterval is the time between checks whether a freeze fault has ended.
const freezePollInterval = 10 * time.Millisecond

// Finish reasons of a completion.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// job is one request in the engine: its sequence and its generated text.
type job struct {
	sequence      *batching.Sequence
	generator     *text.Generator
	crashesEngine bool
	limit         int
	generated     int
	// tokens has room for the whole completion, so that a slow reader never blocks the engine.
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
		generator:     text.NewGenerator(prompt, e.cfg.MeanTokens, ignoreEnd),
		crashesEngine: e.cfg.CrashPrompt != "" && strings.Contains(prompt, e.cfg.CrashPrompt),
		limit:         limit,
		tokens:        make(chan string, limit),
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

// cancel frees a job's slot. It does nothing if the job has ended.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.jobs, j.sequence)
	e.core.Remove(j.sequence)
}

// loop runs one step after another until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	defer close(e.stopped)
	stepEnd := time.Now()
	for ctx.Err() == nil {
		if _, frozen := e.cfg.Faults.Has(e.cfg.Name, fault.Freeze); frozen {
			sleepUntil(ctx, time.Now().Add(freezePollInterval))
			continue
		}
		core, step, busy := e.plan()
		if !busy {
			e.waitForWork(ctx)
			stepEnd = time.Now()
			continue
		}
		// Counting from the planned end of the last step keeps the engine's speed exact when timers fire late.
		stepEnd = stepEnd.Add(step.Duration + e.slowStepDelay())
		sleepUntil(ctx, stepEnd)
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

func (e *Engine) slowStepDelay() time.Duration {
	if f, ok := e.cfg.Faults.Has(e.cfg.Name, fault.Slow); ok {
		return f.Delay()
	}
	return 0
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// complete emits the step's tokens. It returns true if a request in the step crashes the engine.
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
		if j.crashesEngine {
			return true
		}
		j.generateToken()
		if j.finish != "" {
			e.core.Remove(s)
			delete(e.jobs, s)
			close(j.tokens)
		}
	}
	return false
}

// generateToken generates one token and sets the finish reason if it was the last.
func (j *job) generateToken() {
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
