// Package batching models an engine with continuous batching: a limited number of slots, a FIFO queue for requests
// beyond them, and steps whose duration grows with the running sequences and the prefilled prompt tokens.
//
// It reads no clock and starts no goroutine. The caller plans a step, lets its duration pass in real or virtual
// time, and completes it.
package batching

import (
	"slices"
	"time"
)

// Config is the speed and the size of an engine.
type Config struct {
	// Slots is the number of sequences that run at once. Default 8.
	Slots int `yaml:"slots"`
	// StepBase is the fixed part of a step's duration. Default 4ms.
	StepBase time.Duration `yaml:"step_base"`
	// StepPerSequence is added to a step's duration for each running sequence. Default 200µs.
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	// StepPerPrefillToken is added to a step's duration for each prompt token that it prefills. Default 20µs.
	StepPerPrefillToken time.Duration `yaml:"step_per_prefill_token"`
	// PrefillPerStep is the maximum number of prompt tokens that one step prefills. Default 512.
	PrefillPerStep int `yaml:"prefill_per_step"`
	// CacheBlocks is the size of the prefix cache in blocks. Default 4096.
	CacheBlocks int `yaml:"cache_blocks"`
}

// Defaults of Config.
const (
	defaultSlots               = 8
	defaultStepBase            = 4 * time.Millisecond
	defaultStepPerSequence     = 200 * time.Microsecond
	defaultStepPerPrefillToken = 20 * time.Microsecond
	defaultPrefillPerStep      = 512
	defaultCacheBlocks         = 4096
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.StepBase <= 0 {
		c.StepBase = defaultStepBase
	}
	if c.StepPerSequence <= 0 {
		c.StepPerSequence = defaultStepPerSequence
	}
	if c.StepPerPrefillToken <= 0 {
		c.StepPerPrefillToken = defaultStepPerPrefillToken
	}
	if c.PrefillPerStep <= 0 {
		c.PrefillPerStep = defaultPrefillPerStep
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	return c
}

// Sequence is one request in the engine.
type Sequence struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Blocks are the prefix hashes of the prompt's blocks; see text.PrefixBlocks.
	Blocks []uint64
	// BlockTokens is the number of tokens in a block.
	BlockTokens int

	prefillRemaining int
	cancelled        bool
}

// Step is one planned engine step.
type Step struct {
	// Duration is how long the step takes.
	Duration time.Duration
	// Emitting are the sequences that emit one token when the step completes.
	Emitting []*Sequence
	// CacheEvents are the changes to the prefix cache made by admitting sequences.
	CacheEvents []CacheEvent
}

// Core is the state of one engine.
type Core struct {
	cfg     Config
	waiting []*Sequence
	running []*Sequence
	cache   *prefixCache
}

// NewCore returns an idle engine with an empty cache.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks)}
}

// Config returns the configuration with its defaults filled in.
func (c *Core) Config() Config { return c.cfg }

// Submit queues a sequence.
func (c *Core) Submit(s *Sequence) { c.waiting = append(c.waiting, s) }

// Remove removes a sequence from the queue or from its slot. It does nothing if the sequence has ended.
func (c *Core) Remove(s *Sequence) {
	s.cancelled = true
	matches := func(other *Sequence) bool { return other == s }
	c.waiting = slices.DeleteFunc(c.waiting, matches)
	c.running = slices.DeleteFunc(c.running, matches)
}

// Running returns the number of sequences that hold a slot.
func (c *Core) Running() int { return len(c.running) }

// Waiting returns the number of sequences in the queue.
func (c *Core) Waiting() int { return len(c.waiting) }

// Plan admits queued sequences into free slots and returns the next step. It returns false if no sequence
// is running.
func (c *Core) Plan() (Step, bool) {
	events := c.admit()
	if len(c.running) == 0 {
		return Step{}, false
	}
	prefilled, emitting := c.prefill()
	duration := c.cfg.StepBase +
		time.Duration(len(c.running))*c.cfg.StepPerSequence +
		time.Duration(prefilled)*c.cfg.StepPerPrefillToken
	return Step{Duration: duration, Emitting: emitting, CacheEvents: events}, true
}

// Live returns the emitting sequences that were not removed while the step ran.
func (s Step) Live() []*Sequence {
	return slices.DeleteFunc(slices.Clone(s.Emitting), func(q *Sequence) bool { return q.cancelled })
}

func (c *Core) admit() []CacheEvent {
	var events []CacheEvent
	for len(c.waiting) > 0 && len(c.running) < c.cfg.Slots {
		s := c.waiting[0]
		c.waiting = c.waiting[1:]
		cached := c.cache.match(s.Blocks) * s.BlockTokens
		s.prefillRemaining = max(s.PromptTokens-cached, 0)
		events = append(events, c.cache.store(s.Blocks)...)
		c.running = append(c.running, s)
	}
	return events
}

// prefill spends the step's prefill budget in order of admission. Sequences whose prompt is fully prefilled emit a
// token.
func (c *Core) prefill() (tokens int, emitting []*Sequence) {
	budget := c.cfg.PrefillPerStep
	for _, s := range c.running {
		chunk := min(s.prefillRemaining, budget)
		s.prefillRemaining -= chunk
		budget -= chunk
		if s.prefillRemaining == 0 {
			emitting = append(emitting, s)
		}
	}
	return c.cfg.PrefillPerStep - budget, emitting
}
