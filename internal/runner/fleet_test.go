package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/entry"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/runner"
	"github.com/rosemarydyke/rosemarydyke/internal/settingstore"
	standin "github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

const loopback = "127.0.0.1:0"

type memoryPlatform struct{ *memory.Platform }

func (p memoryPlatform) Table() platform.Table     { return p.Platform }
func (p memoryPlatform) Objects() platform.Objects { return p.Platform.Objects() }
func (p memoryPlatform) VMs() platform.VMList      { return p.Platform }
func (p memoryPlatform) Weights() platform.Weights { return p.Platform }

// fleet runs the entries and runners of two entry VMs in this process, with stand-in engines as targets.
type fleet struct {
	t        *testing.T
	platform memoryPlatform
	store    *jobstore.Store
	engines  []*standin.Engine
}

func newFleet(t *testing.T, engines int, crashPrompt string) *fleet {
	f := &fleet{t: t, platform: memoryPlatform{memory.New()}}
	f.store = jobstore.New(f.platform.Table(), f.platform.Objects())
	documents := map[string]string{"fleet/models/m": "max_tokens: 1000\n"}
	for i := range engines {
		e, err := standin.Start(context.Background(), standin.Config{
			Name: fmt.Sprint(i), Model: "m", CrashPrompt: crashPrompt, RestartAfter: time.Second,
		})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(e.Stop)
		f.engines = append(f.engines, e)
		documents[fmt.Sprintf("fleet/targets/engine-%d", i)] = fmt.Sprintf(
			"address: %s\navailability_zone: az-%d\nmodel: m\nslots: 4\n", e.Address(), i%2)
	}
	_, err := settingstore.New(f.platform.Table(), f.platform.Objects()).Commit(
		context.Background(), settings.Empty(), settings.Change{Operation: "first", Documents: documents})
	qt.Assert(t, err, qt.IsNil)
	keys := t.TempDir()
	names := []string{"vm-0", "vm-1"}
	qt.Assert(t, devkeys.Generate(keys, names), qt.IsNil)
	var vms []platform.VM
	var starts []func()
	for i, name := range names {
		address, start := f.newVM(keys, name, fmt.Sprintf("az-%d", i))
		vms = append(vms, platform.VM{Name: name, Address: address, Role: platform.RoleEntry, State: platform.VMLive})
		starts = append(starts, start)
	}
	f.platform.SetVMs(vms)
	for _, start := range starts {
		start()
	}
	return f
}

// newVM creates an entry and a runner. It returns the entry's peer address and a function that starts both.
func (f *fleet) newVM(keys, name, zone string) (address string, start func()) {
	log := zerolog.Nop()
	tls := config.TLS{CA: filepath.Join(keys, devkeys.CAFile), Certificate: filepath.Join(keys, name+".pem"), Key: filepath.Join(keys, name+".key")}
	node, err := peer.Listen(peer.Config{Address: loopback, TLS: tls, Log: log})
	qt.Assert(f.t, err, qt.IsNil)
	e, err := entry.New(entry.Config{
		Settings: &config.Entry{
			Common:  config.Common{VM: config.VM{Name: name, AvailabilityZone: zone, Region: "r1"}, TLS: tls, Peers: loopback},
			Callers: loopback, BatchPeers: node.Address().String(), OperatorPeers: loopback,
		},
		Platform: f.platform, Log: log, Ready: new(atomic.Bool), EntriesTTL: time.Millisecond, LeaveGrace: time.Millisecond,
	})
	qt.Assert(f.t, err, qt.IsNil)
	r := runner.New(runner.Config{
		VM: name, Entry: e.Peers(), Caller: node, Store: f.store, Items: runner.NewEngineRunner(engine.New(engine.Config{})), Log: log,
	})
	r.Register(node)
	f.t.Cleanup(func() { _ = node.Close(context.Background()) })
	return e.Peers().String(), func() {
		qt.Assert(f.t, node.Start(), qt.IsNil)
		f.run(e.Run)
		f.run(r.Run)
	}
}

func (f *fleet) run(process func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process(ctx)
	}()
	f.t.Cleanup(func() {
		stop()
		<-ended
	})
}

func (f *fleet) submit(lines []string) string {
	ctx := context.Background()
	input := strings.Join(lines, "\n")
	file, err := f.store.CreateFile(ctx, "client", "in", "batch", strings.NewReader(input), 1<<20)
	qt.Assert(f.t, err, qt.IsNil)
	rules := job.Rules{Endpoint: "/v1/chat/completions", HasModel: func(string) bool { return true }}
	chunks, items, err := job.Split(strings.NewReader(input), rules)
	qt.Assert(f.t, err, qt.IsNil)
	record, err := f.store.Create(ctx, jobstore.Spec{
		Client: "client", Endpoint: rules.Endpoint, CompletionWindow: time.Hour,
		InputFile: file.ID, IdempotencyKey: file.ID, Chunks: chunks, Items: items,
	})
	qt.Assert(f.t, err, qt.IsNil)
	return record.Job.ID
}

func (f *fleet) results(id string, output jobstore.Output) map[string]job.Result {
	var content bytes.Buffer
	qt.Assert(f.t, f.store.WriteResults(context.Background(), &content, id, output), qt.IsNil)
	results := map[string]job.Result{}
	for line := range strings.Lines(content.String()) {
		var result job.Result
		qt.Assert(f.t, json.Unmarshal([]byte(line), &result), qt.IsNil)
		results[result.CustomID] = result
	}
	return results
}

// jobTimeout is far longer than a small job takes.
const jobTimeout = time.Minute

func (f *fleet) waitForCompletion(id string) {
	for end := time.Now().Add(jobTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		record, err := f.store.GetAny(context.Background(), id)
		qt.Assert(f.t, err, qt.IsNil)
		if record.Status() == job.StatusCompleted {
			return
		}
	}
	f.t.Fatalf("the job did not complete within %v", jobTimeout)
}

func TestPoisonPromptInABatchFailsOneItemOnly(t *testing.T) {
	const items, poisoned = 120, 57
	f := newFleet(t, 4, "poison")
	var lines []string
	for i := range items {
		prompt := fmt.Sprintf("summary %d", i)
		if i == poisoned {
			prompt = "poison"
		}
		lines = append(lines, fmt.Sprintf(
			`{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":%q}]}}`, i, prompt))
	}
	id := f.submit(lines)
	f.waitForCompletion(id)
	failed := f.results(id, jobstore.Errors)
	qt.Assert(t, failed, qt.HasLen, 1)
	qt.Assert(t, string(failed[fmt.Sprintf("c%d", poisoned)].Error.Code), qt.Equals, "request_quarantined")
	qt.Assert(t, f.results(id, jobstore.Responses), qt.HasLen, items-1)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	qt.Assert(t, crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
}
