package orders

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	standin "github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/order"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// waitLimit is the timeout for conditions that must become true.
const waitLimit = 20 * time.Second

// readySink records the notifications that the admission controller would receive.
type readySink struct {
	mu     sync.Mutex
	loaded map[string]string
}

func (s *readySink) SetLoaded(target, model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[target] = model
}

func (s *readySink) model(target string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded[target]
}

// testOwner is one VM's service with the targets that it considers its own.
type testOwner struct {
	sink         *readySink
	mu           sync.Mutex
	ownedTargets []*settings.Target
}

func (o *testOwner) owned() []*settings.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownedTargets
}

func (o *testOwner) setOwned(targets ...*settings.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownedTargets = targets
}

func startOwner(t *testing.T, p *memory.Platform, name string) *testOwner {
	o := &testOwner{sink: &readySink{loaded: map[string]string{}}}
	service := New(Config{
		VM: name, Table: p, Weights: p, Engine: engine.New(engine.Config{}), Owned: o.owned, Ready: o.sink,
		Interval: 10 * time.Millisecond, SwitchDelay: 50 * time.Millisecond,
		Reconciler: order.Config{
			Term: 300 * time.Millisecond, MaxOrderDuration: 300 * time.Millisecond,
			ReadInterval: 50 * time.Millisecond, RetryInterval: 20 * time.Millisecond,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); service.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return o
}

func startEngine(t *testing.T, checksFencing bool) *standin.Engine {
	e, err := standin.Start(context.Background(), standin.Config{Name: "e", Model: "old", ChecksFencing: checksFencing})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Stop)
	return e
}

func managed(e *standin.Engine, model string, checksFencing bool) *settings.Target {
	return &settings.Target{
		Name: "e", Address: e.Address(), Model: model, Adapters: []string{"lora"}, Slots: 1, Managed: true, ChecksFencing: checksFencing,
	}
}

func newPlatform() *memory.Platform {
	p := memory.New()
	for _, model := range []string{"old", "new", "newer"} {
		p.SetWeight(platform.Weight{Model: model, Bytes: 1})
	}
	return p
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func stateOf(t *testing.T, e *standin.Engine) order.State {
	state, err := readState(context.Background(), engine.New(engine.Config{}), e.Address())
	qt.Assert(t, err, qt.IsNil)
	return state
}

func TestManagedEngineReachesItsDesiredState(t *testing.T) {
	for name, checks := range map[string]bool{"an engine that checks fencing": true, "an engine that ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			p, e := newPlatform(), startEngine(t, checks)
			o := startOwner(t, p, "vm-1")
			o.setOwned(managed(e, "new", checks))
			eventually(t, "the model is loaded", func() bool { return o.sink.model("e") == "new" })
			qt.Assert(t, stateOf(t, e), qt.DeepEquals, order.State{Model: "new", Adapters: []string{"lora"}})

			// A second owner that wants another model takes over before the first one notices.
			other := startOwner(t, p, "vm-2")
			other.setOwned(managed(e, "newer", checks))
			o.setOwned()
			eventually(t, "the new owner has loaded its model", func() bool { return other.sink.model("e") == "newer" })
			eventually(t, "the former owner no longer reports the target as ready", func() bool { return o.sink.model("e") == "" })
			qt.Assert(t, stateOf(t, e).Model, qt.Equals, "newer")
		})
	}
}

func TestModelInUseIsNotReplaced(t *testing.T) {
	p, e := newPlatform(), startEngine(t, true)
	client := engine.New(engine.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	streaming := make(chan struct{})
	var once sync.Once
	go func() {
		body := `{"model":"old","stream":true,"max_tokens":100000,"ignore_eos":true,"messages":[{"role":"user","content":"hi"}]}`
		_, _ = client.Stream(ctx, engine.Request{Address: e.Address(), Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)},
			func(engine.Event) error { once.Do(func() { close(streaming) }); return nil })
	}()
	<-streaming
	o := startOwner(t, p, "vm-1")
	o.setOwned(managed(e, "new", true))
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, stateOf(t, e).Model, qt.Equals, "old")
	cancel()
	eventually(t, "the model is replaced once its request has ended", func() bool { return o.sink.model("e") == "new" })
}

func TestWeightStoreRateLimitDefersLoad(t *testing.T) {
	p, e := newPlatform(), startEngine(t, true)
	p.SetWeight(platform.Weight{Model: "new", RetryAfter: time.Hour})
	o := startOwner(t, p, "vm-1")
	o.setOwned(managed(e, "new", true))
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, stateOf(t, e).Model, qt.Equals, "old")
}

func TestOrderOfFormerHolderIsRefused(t *testing.T) {
	p, e := newPlatform(), startEngine(t, true)
	ctx := context.Background()
	client := engine.New(engine.Config{})
	former, err := claimFence(ctx, p, "e", "a", 0)
	qt.Assert(t, err, qt.IsNil)
	current, err := claimFence(ctx, p, "e", "b", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, current.otherHolder, qt.IsTrue)
	_, err = sendOrder(ctx, client, e.Address(), order.Order{Kind: order.LoadModel, Name: "new", Fence: current.fence}, time.Second)
	qt.Assert(t, err, qt.IsNil)
	_, err = sendOrder(ctx, client, e.Address(), order.Order{Kind: order.LoadModel, Name: "old", Fence: former.fence}, time.Second)
	var fenced *fencedError
	qt.Assert(t, err, qt.ErrorAs, &fenced)
	qt.Assert(t, fenced.newest, qt.Equals, current.fence)
}
