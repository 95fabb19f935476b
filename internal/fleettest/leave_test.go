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
	// streams is the number of concurrent streams through a VM that stops, streamTokens the token limit of each.
	streams      = 8
	streamTokens = 300
	// stopTimeout limits the wait for a process to exit after SIGTERM.
	stopTimeout = time.Minute
	// leaveGrace is the time after which a leaving target gets no new requests.
	leaveGrace = 3 * time.Second
	// chatInterval is the time between the chats of a steady load.
	chatInterval = 20 * time.Millisecond
)

// streamResult is the result of one stream.
type streamResult struct {
	prompt string
	text   string
	err    error
}

// stream streams a completion of up to streamTokens tokens. It sends on started at the first chunk.
func (f *fleet) stream(ctx context.Context, v *vm, prompt string, started chan<- struct{}) streamResult {
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
	return streamResult{prompt: prompt, text: text.String(), err: stream.Err()}
}

// longPrompt returns a prompt with a long completion, so that its stream is still running when the signal is sent.
func longPrompt(i int) string {
	for n := 0; ; n++ {
		prompt := fmt.Sprintf("Call %d, draft %d.", i, n)
		if strings.Count(fullCompletion(prompt, streamTokens), " ") >= streamTokens/2 {
			return prompt
		}
	}
}

func TestAGracefulStopCutsNoStreamAndServesCallersWithACachedAddress(t *testing.T) {
	t.Parallel()
	f := startFleet(t, batching.Config{Slots: streams, StepBase: 20 * time.Millisecond})
	leaving := f.vms[0]
	results := f.startStreams(leaving)
	f.signal(leaving, syscall.SIGTERM, entryDaemon, batchDaemon, operatorDaemon)
	_, err := f.chat(t.Context(), leaving, "A caller that kept the address.", 4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, countComplete(results), qt.Equals, streams)
	for _, p := range leaving.processes {
		f.waitFor(stopTimeout, "the process to exit", func() bool { return hasExited(p) })
		qt.Check(t, p.err, qt.IsNil)
	}
	_, err = f.chat(t.Context(), f.vms[1], "Another entry goes on.", 4)
	qt.Assert(t, err, qt.IsNil)
}

// TestAKilledVMCutsStreams is the control of the graceful stop's test: without a graceful stop its check must fail.
func TestAKilledVMCutsStreams(t *testing.T) {
	t.Parallel()
	f := startFleet(t, batching.Config{Slots: streams, StepBase: 20 * time.Millisecond})
	results := f.startStreams(f.vms[0])
	f.kill(f.vms[0])
	qt.Assert(t, countComplete(results) < streams, qt.IsTrue)
}

// startStreams starts streams through a VM and waits for the first token of each.
func (f *fleet) startStreams(v *vm) <-chan streamResult {
	started := make(chan struct{}, streams)
	results := make(chan streamResult, streams)
	for i := range streams {
		go func() { results <- f.stream(f.t.Context(), v, longPrompt(i), started) }()
	}
	for range streams {
		<-started
	}
	return results
}

// countComplete returns the number of streams that ended without an error and with the full completion of their prompt.
func countComplete(results <-chan streamResult) int {
	complete := 0
	for range streams {
		if result := <-results; result.err == nil && result.text == fullCompletion(result.prompt, streamTokens) {
			complete++
		}
	}
	return complete
}

func hasExited(p *process) bool {
	select {
	case <-p.exited:
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
		// keepsWork is true for the control, in which the target keeps getting requests, so the check can fail.
		keepsWork bool
	}{
		{"its settings document is removed", func(f *fleet) { f.applySettings(f.settings(speed.Slots, engineName(0))) }, false},
		{"the platform lists it as leaving", func(f *fleet) {
			f.listAsLeaving(engineName(0))
			// leaveGrace starts when the VM list shows the change, which it does after its lag.
			time.Sleep(vmListLag)
		}, false},
		{"it does not leave", func(*fleet) {}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, speed)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			f.sendChats(ctx)
			log := f.standin.Engines[0].Executions()
			before := log.Count("").Started
			f.waitFor(startTimeout, "work on the target", func() bool { return log.Count("").Started > before })
			test.leave(f)
			time.Sleep(leaveGrace)
			afterLeaving := log.Count("").Started
			total := f.standin.Executions("").Started
			f.waitFor(startTimeout, "work on the other targets", func() bool { return f.standin.Executions("").Started > total+100 })
			qt.Assert(t, log.Count("").Started > afterLeaving, qt.Equals, test.keepsWork)
		})
	}
}

// sendChats sends short chats through all VMs until ctx ends.
func (f *fleet) sendChats(ctx context.Context) {
	for _, v := range f.vms {
		go func() {
			for ctx.Err() == nil {
				_, _ = f.chat(ctx, v, "steady", 2)
				time.Sleep(chatInterval)
			}
		}()
	}
}

// listAsLeaving sets the state of a target in the platform's VM list to leaving.
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
