package batching_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

var cfg = batching.Config{
	Slots:               2,
	StepBase:            time.Millisecond,
	StepPerSequence:     10 * time.Microsecond,
	StepPerPrefillToken: time.Microsecond,
	PrefillPerStep:      64,
	CacheBlocks:         2,
}

func sequence(tokens int, blocks ...uint64) *batching.Sequence {
	return &batching.Sequence{PromptTokens: tokens, Blocks: blocks, BlockTokens: 16}
}

func TestStepsGrowWithSequencesAndPrefill(t *testing.T) {
	core := batching.NewCore(cfg)
	_, busy := core.Plan()
	qt.Assert(t, busy, qt.IsFalse)
	core.Submit(sequence(32))
	core.Submit(sequence(100))
	core.Submit(sequence(1))
	step, _ := core.Plan()
	qt.Assert(t, step.Duration, qt.Equals, time.Millisecond+20*time.Microsecond+64*time.Microsecond)
	qt.Assert(t, step.Emitting, qt.HasLen, 1)
	qt.Assert(t, core.Waiting(), qt.Equals, 1)
	step, _ = core.Plan()
	qt.Assert(t, step.Duration, qt.Equals, time.Millisecond+20*time.Microsecond+64*time.Microsecond)
	qt.Assert(t, step.Emitting, qt.HasLen, 1)
	step, _ = core.Plan()
	qt.Assert(t, step.Duration, qt.Equals, time.Millisecond+20*time.Microsecond+4*time.Microsecond)
	qt.Assert(t, step.Emitting, qt.HasLen, 2)
}

func TestACachedPrefixIsPrefilledAgainOnlyAfterEviction(t *testing.T) {
	core := batching.NewCore(cfg)
	run := func(s *batching.Sequence) time.Duration {
		core.Submit(s)
		step, _ := core.Plan()
		core.Remove(s)
		return step.Duration
	}
	cold := run(sequence(32, 1, 2))
	warm := run(sequence(32, 1, 2))
	qt.Assert(t, cold-warm, qt.Equals, 32*time.Microsecond)
	run(sequence(32, 3, 4))
	qt.Assert(t, run(sequence(32, 1, 2)), qt.Equals, cold)
}

func TestARemovedSequenceGetsNoToken(t *testing.T) {
	core := batching.NewCore(cfg)
	s := sequence(1)
	core.Submit(s)
	step, _ := core.Plan()
	core.Remove(s)
	qt.Assert(t, step.Live(), qt.HasLen, 0)
	_, busy := core.Plan()
	qt.Assert(t, busy, qt.IsFalse)
}
