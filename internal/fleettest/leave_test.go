package fleettest

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
)

const (
	// streams run through a VM that stops, each for streamTokens tokens.
	streams      = 8
	streamTokens = 300
	// stopBound ends the wait for a process that was asked to stop.
	stopBound = time.Minute
	// leaveBound is the time after which a leaving target gets no new work.
	leaveBound = 3 * time.Second
	// chatInterval separates the chats of a steady load.
	chatInterval = 20 * time.Millisecond
)

// streamEnd is how a stream ended.
type streamEnd struct {
	prompt string
	text   string
	err    error
}

// stream streams a long answer. It reports the first token on started.
func (f *fleet) stream(ctx context.Context, v *vm, prompt string, started chan<- struct{}) streamEnd {
	client := f.client(v)
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(streamTokens),
	})
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	first := true
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		if first {
			started <- struct{}{}
			first = false
		}
	}
	return streamEnd{prompt: prompt, text: text.String(), err: stream.Err()}
}

// longPrompt returns a prompt whose answer is long, so that a stream of it outlasts the signal.
func longPrompt(i int) string {
	for n := 0; ; n++ {
		prompt := fmt.Sprintf("Call %d, draft %d.", i, n)
		if strings.Count(wholeAnswer(prompt, streamTokens), " ") >= streamTokens/2 {
			return prompt
		}
	}
}

func TestAStopCutsNoStreamAndServesCallersWithACachedAddress(t *testing.T) {
	t.Parallel()
	f := startFleet(t, batching.Config{Slots: streams, StepBase: 20 * time.Millisecond})
	leaving := f.vms[0]
	ends := f.startStreams(leaving)
	f.signal(leaving, syscall.SIGTERM, entryDaemon, batchDaemon, operatorDaemon)
	_, err := f.chat(t.Context(), leaving, "A caller that kept the address.", 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, countWhole(ends), qt.Equals, streams)
	for _, p := range leaving.processes {
		f.await(stopBound, "the process to end", func() bool { return hasEnded(p) })
		qt.Check(t, p.err, qt.IsNil)
	}
	_, err = f.chat(t.Context(), f.vms[1], "Another entry goes on.", 4)
	qt.Assert(t, err, qt.IsNil)
}

// TestAnAbruptStopCutsStreams shows that the check of the test before can fail.
func TestAnAbruptStopCutsStreams(t *testing.T) {
	t.Parallel()
	f := startFleet(t, batching.Config{Slots: streams, StepBase: 20 * time.Millisecond})
	ends := f.startStreams(f.vms[0])
	f.kill(f.vms[0])
	qt.Assert(t, countWhole(ends) < streams, qt.IsTrue)
}

// startStreams starts streams through a VM and waits for the first token of each.
func (f *fleet) startStreams(v *vm) <-chan streamEnd {
	started := make(chan struct{}, streams)
	ends := make(chan streamEnd, streams)
	for i := range streams {
		go func() { ends <- f.stream(f.t.Context(), v, longPrompt(i), started) }()
	}
	for range streams {
		<-started
	}
	return ends
}

// countWhole returns how many streams ended without an error and with the whole text of their own prompt.
func countWhole(ends <-chan streamEnd) int {
	whole := 0
	for range streams {
		if end := <-ends; end.err == nil && end.text == wholeAnswer(end.prompt, streamTokens) {
			whole++
		}
	}
	return whole
}

func hasEnded(p *process) bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		leave func(f *fleet)
		// works says that the target goes on getting work, which shows that the check can fail.
		works bool
	}{
		{"its document is removed", func(f *fleet) { f.applySettings(f.settings(speed.Slots, engineName(0))) }, false},
		{"the platform lists it as leaving", func(f *fleet) {
			f.listAsLeaving(engineName(0))
			// The bound counts from the earliest sign, and the list lags.
			time.Sleep(listLag)
		}, false},
		{"it stays", func(*fleet) {}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, speed)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			f.loadSteadily(ctx)
			log := f.standin.Engines[0].Executions()
			before := log.Count("").Started
			f.await(startBound, "work on the target", func() bool { return log.Count("").Started > before })
			test.leave(f)
			time.Sleep(leaveBound)
			left := log.Count("").Started
			others := f.standin.Executions("").Started
			f.await(startBound, "work on the other targets", func() bool { return f.standin.Executions("").Started > others+100 })
			qt.Assert(t, log.Count("").Started > left, qt.Equals, test.works)
		})
	}
}

// loadSteadily sends short chats through all VMs until ctx ends.
func (f *fleet) loadSteadily(ctx context.Context) {
	for _, v := range f.vms {
		go func() {
			for ctx.Err() == nil {
				_, _ = f.chat(ctx, v, "steady", 2)
				time.Sleep(chatInterval)
			}
		}()
	}
}

func (f *fleet) listAsLeaving(name string) {
	vms, err := f.standin.Memory.List(f.t.Context())
	qt.Assert(f.t, err, qt.IsNil)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].State = platform.VMLeaving
		}
	}
	f.standin.Memory.SetVMs(vms)
}
