package batchjobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/batchjobs"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	service = "llm"
	host    = "a.example"
	events  = 8
	// progressTable and progressPart hold what unfinished items have reached.
	progressTable, progressPart = "rosemarydyke-job-progress", "progress"
	// patience bounds the wait for what has to happen.
	patience = 30 * time.Second
)

type configuration struct{ table atomic.Pointer[routing.Table] }

func (c *configuration) Current() *routing.Table { return c.table.Load() }

func newConfiguration(quota int64) *configuration {
	c := &configuration{}
	c.table.Store(&routing.Table{Version: 1, Routes: []*routing.Route{{
		Name: "batch", Host: host, PathPrefix: "/b/", Kind: routing.Batch, MaxAttempts: 3, JobObjective: 18 * time.Second,
		Retention: time.Minute, TokenQuota: quota, Services: []routing.WeightedService{{Service: service, Weight: 1}},
	}}})
	return c
}

// vm is one VM's batch service over a store that all share.
type vm struct {
	*batchjobs.Service
	members *schedulingtest.Members
	stop    context.CancelFunc
	stopped chan struct{}
}

// world is some VMs, their store and their targets.
type world struct {
	retention time.Duration
	t         *testing.T
	state     *memory.Platform
	config    *configuration
	targets   []*streamtarget.Target
	slots     *scheduling.Service
	vms       map[string]*vm
	// links carry calls between VMs. Without one of its own, a VM is cut off from the others.
	links map[string]*link
}

// link is the transport of one of two VMs.
type link struct {
	handlers map[peer.Method]peer.CallHandler
	other    *link
}

// linkVMs connects two VMs that are about to start.
func (w *world) linkVMs(a, b string) {
	one, other := &link{handlers: map[peer.Method]peer.CallHandler{}}, &link{handlers: map[peer.Method]peer.CallHandler{}}
	one.other, other.other = other, one
	w.links = map[string]*link{a: one, b: other}
}

func (l *link) HandleCall(method peer.Method, handler peer.CallHandler) { l.handlers[method] = handler }

func (l *link) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, _ any) error {
	content, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	_, err = l.other.handlers[method](ctx, peer.Identity{}, func(into any) error { return cbor.Unmarshal(content, into) })
	return err
}

func newWorld(t *testing.T, quota int64) *world { return newWorldOf(t, quota, time.Millisecond) }

// newWorldOf starts targets whose events come at an interval.
func newWorldOf(t *testing.T, quota int64, interval time.Duration) *world {
	w := &world{t: t, state: memory.New(), config: newConfiguration(quota), vms: map[string]*vm{}}
	for i := range 2 {
		target := streamtarget.Start(streamtarget.Config{ID: fmt.Sprintf("i-%d", i), Events: events, Interval: interval})
		t.Cleanup(target.Close)
		w.targets = append(w.targets, target)
	}
	w.slots = schedulingtest.Start(t, service, 4, w.targets...)
	return w
}

// progressRows returns the rows of what unfinished items have reached.
func (w *world) progressRows() []rowstore.TableRow {
	page, err := w.state.Read(w.t.Context(), progressTable, progressPart, rowstore.KeyRange{})
	qt.Assert(w.t, err, qt.IsNil)
	return page.Rows
}

// start starts a VM on a store, which may be faulty.
func (w *world) start(name string, store rowstore.Rows, others ...string) *vm {
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{members: schedulingtest.NewMembers(name, others...), stop: cancel, stopped: make(chan struct{})}
	node := batchjobs.Node(schedulingtest.DiscardNode)
	if l := w.links[name]; l != nil {
		node = l
	}
	v.Service = batchjobs.New(batchjobs.Config{
		VM: name, Rows: store, Members: v.members, Configuration: w.config, Slots: w.slots,
		Targets: platform.NewTargets(), Node: node, ResultRetention: w.retention, Log: zerolog.Nop(),
	})
	go func() {
		defer close(v.stopped)
		v.Run(ctx)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-v.stopped
	})
	w.vms[name] = v
	return v
}

func body(job string, items int, tokens int64) string {
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"%s-%d","path":"/b/%d","headers":{"X-Model":"m"},"body":"q83v","tokens":%d}`, job, i, i, tokens)
	}
	return `{"items":[` + strings.Join(list, ",") + `]}`
}

func (v *vm) submit(c *configuration, job, content string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/b/"+job, strings.NewReader(content))
	r.Host = host
	platform.SetAttempt(r.Header, job, 4000)
	rec := httptest.NewRecorder()
	v.Submit(rec, r, c.Current().Routes[0], []byte(content))
	return rec
}

func (v *vm) call(method, uri string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, uri, nil)
	r.Host = host
	rec := httptest.NewRecorder()
	if !v.Serve(rec, r) {
		panic("not a call about a job: " + uri)
	}
	return rec
}

type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

func (v *vm) results(job string, after int) (results, int) {
	rec := v.call(http.MethodGet, platform.ResultsURI(job, after))
	var out results
	if rec.Code == http.StatusOK {
		if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
			panic(err)
		}
	}
	return out, rec.Code
}

// eventually waits until a condition holds.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > patience {
			w.t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// accept submits a job until it is accepted.
func (w *world) accept(v *vm, job string, items int) {
	w.t.Helper()
	w.eventually("acceptance of "+job, func() bool { return v.submit(w.config, job, body(job, items, 10)).Code == http.StatusAccepted })
}

// finish waits until all items of a job are listed, and returns them as a VM shows them.
func (w *world) finish(v *vm, job string, items int) results {
	w.t.Helper()
	var all results
	w.eventually("results of "+job, func() bool {
		got, code := v.results(job, 0)
		all = got
		return code == http.StatusOK && len(got.Results) == items
	})
	return all
}

// checkWhole checks that each item is listed once, as completed with its whole text.
func (w *world) checkWhole(job string, items int, got results) {
	w.t.Helper()
	qt.Assert(w.t, got.Total, qt.Equals, items)
	qt.Assert(w.t, got.Next, qt.Equals, items)
	seen := map[string]bool{}
	for _, r := range got.Results {
		qt.Assert(w.t, seen[r.ID], qt.IsFalse, qt.Commentf("%s stands twice", r.ID))
		seen[r.ID] = true
		qt.Assert(w.t, r.State, qt.Equals, "completed")
		qt.Assert(w.t, r.Text, qt.Equals, streamtarget.Text(r.ID, events))
	}
}

func TestAJobIsAcceptedOnceAndEachItemIsListedOnce(t *testing.T) {
	w := newWorld(t, 0)
	a, b := w.start("a", w.state, "b"), w.start("b", w.state, "a")
	w.accept(a, "j1", 12)
	w.accept(b, "j1", 12)
	w.accept(a, "j1", 12)
	first := w.finish(a, "j1", 12)
	w.checkWhole("j1", 12, first)
	qt.Assert(t, w.finish(b, "j1", 12), qt.DeepEquals, first)
	part, _ := b.results("j1", 7)
	qt.Assert(t, part.Results, qt.DeepEquals, first.Results[7:])
	for i := range 12 {
		id := fmt.Sprintf("j1-%d", i)
		qt.Assert(t, w.targets[0].Runs(id)+w.targets[1].Runs(id), qt.Equals, 1)
	}
}

func TestItemsThatFail(t *testing.T) {
	t.Run("are tried at other targets until they are done", func(t *testing.T) {
		w := newWorld(t, 0)
		for _, target := range w.targets {
			target.Inject(streamtarget.CutMidEvent, streamtarget.Shed, streamtarget.CutBefore, streamtarget.WrongID, streamtarget.SkipEvent, streamtarget.Unframed, streamtarget.Fail)
		}
		a := w.start("a", w.state)
		w.accept(a, "j", 6)
		w.checkWhole("j", 6, w.finish(a, "j", 6))
	})
	for name, faults := range map[string][]streamtarget.Fault{
		"are given up when a target says that they can never be done": {streamtarget.Reject},
		"are given up after as many failures as the route allows":     {streamtarget.Fail, streamtarget.Fail, streamtarget.Fail},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0)
			for _, target := range w.targets {
				target.Inject(faults...)
			}
			a := w.start("a", w.state)
			w.accept(a, "j", 1)
			got := w.finish(a, "j", 1)
			qt.Assert(t, got.Results[0].State, qt.Equals, "dead_letter")
			qt.Assert(t, w.targets[0].Runs("j-0")+w.targets[1].Runs("j-0"), qt.Equals, len(faults))
		})
	}
	t.Run("are given up when their route is removed", func(t *testing.T) {
		w := newWorld(t, 0)
		w.targets[0].Inject(streamtarget.Hang)
		w.targets[1].Inject(streamtarget.Hang)
		a := w.start("a", w.state)
		w.accept(a, "j", 1)
		w.eventually("a run", func() bool { return w.targets[0].Runs("j-0")+w.targets[1].Runs("j-0") > 0 })
		w.config.table.Store(&routing.Table{Version: 2})
		got := w.finish(a, "j", 1)
		qt.Assert(t, got.Results[0].State, qt.Equals, "dead_letter")
	})
}

func TestTheQuotaOfARouteBoundsTheWaitingTokensOfTheFleet(t *testing.T) {
	w := newWorld(t, 100)
	w.slots = schedulingtest.Start(t, service, 4) // no targets: nothing finishes
	a, b := w.start("a", w.state, "b"), w.start("b", w.state, "a")
	w.accept(a, "j0", 1)
	var accepted atomic.Int32
	var submissions sync.WaitGroup
	for i := range 20 {
		submissions.Go(func() {
			v := []*vm{a, b}[i%2]
			if v.submit(w.config, fmt.Sprintf("k%d", i), body(fmt.Sprintf("k%d", i), 1, 20)).Code == http.StatusAccepted {
				accepted.Add(1)
			}
		})
	}
	submissions.Wait()
	qt.Assert(t, accepted.Load() <= 4, qt.IsTrue, qt.Commentf("%d jobs of 20 tokens beside 10, bound 100", accepted.Load()))
	qt.Assert(t, accepted.Load() > 0, qt.IsTrue)
	got := a.submit(w.config, "big", body("big", 1, 200))
	qt.Assert(t, got.Code, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, got.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("j0")).Code, qt.Equals, http.StatusOK)
}

func TestAJobThatIsEnded(t *testing.T) {
	w := newWorld(t, 0)
	w.targets[0].Inject(streamtarget.Hang, streamtarget.Hang, streamtarget.Hang)
	w.targets[1].Inject(streamtarget.Hang, streamtarget.Hang, streamtarget.Hang)
	a, b := w.start("a", w.state, "b"), w.start("b", w.state, "a")
	w.accept(a, "j", 4)
	w.eventually("runs", func() bool { return w.targets[0].Runs("j-0")+w.targets[1].Runs("j-0") > 0 })
	rec := a.call(http.MethodGet, platform.BodyURI("j", "j-2"))
	qt.Assert(t, rec.Code, qt.Equals, http.StatusOK)
	qt.Assert(t, rec.Body.Bytes(), qt.DeepEquals, []byte{0xab, 0xcd, 0xef})
	qt.Assert(t, b.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	w.eventually("no run is left", func() bool {
		first, _ := w.targets[0].Concurrency()
		second, _ := w.targets[1].Concurrency()
		return first+second == 0
	})
	w.eventually("bodies are gone", func() bool { return a.call(http.MethodGet, platform.BodyURI("j", "j-2")).Code == http.StatusNotFound })
	qt.Assert(t, a.submit(w.config, "j", body("j", 4, 10)).Code, qt.Equals, http.StatusAccepted)
}

func TestWhatIsNotKnownForSureIsNotDenied(t *testing.T) {
	w := newWorld(t, 0)
	store := &faulty{Rows: w.state}
	a := w.start("a", store)
	w.eventually("a first reading", func() bool {
		return a.call(http.MethodGet, platform.ResultsURI("absent", 0)).Code == http.StatusNotFound
	})
	store.refuse.Store(1000)
	qt.Assert(t, a.call(http.MethodGet, platform.ResultsURI("absent", 0)).Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("absent")).Code, qt.Equals, http.StatusServiceUnavailable)
	code := a.submit(w.config, "j", body("j", 1, 1)).Code
	qt.Assert(t, code, qt.Equals, http.StatusServiceUnavailable)
	store.refuse.Store(0)
	store.lose.Store(1000)
	w.accept(a, "k", 1)
}

// faulty is a store that refuses calls or performs writes without an answer, in shares of 1000.
type faulty struct {
	rowstore.Rows
	refuse, lose atomic.Int32
}

func hit(share *atomic.Int32) bool { return rand.Int32N(1000) < share.Load() }

func (f *faulty) Read(ctx context.Context, table, part string, keys rowstore.KeyRange) (rowstore.Page, error) {
	if hit(&f.refuse) {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return f.Rows.Read(ctx, table, part, keys)
}

func (f *faulty) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if hit(&f.refuse) {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return f.Rows.Follow(ctx, table, after, wait)
}

func (f *faulty) Apply(ctx context.Context, txn rowstore.RowTxn) (uint64, error) {
	if hit(&f.refuse) {
		return 0, rowstore.ErrUnavailable
	}
	version, err := f.Rows.Apply(ctx, txn)
	if hit(&f.lose) {
		return 0, rowstore.ErrOutcomeUnknown
	}
	return version, err
}

// quiet-1 of candado-reservas, third of four runs: an item was done when its client ended the job, and was
// never listed.
func TestAResultThatIsReadyIsListedAlthoughItsJobIsEnded(t *testing.T) {
	w := newWorld(t, 0)
	store := &faulty{Rows: w.state}
	a, b := w.start("a", store, "b"), w.start("b", w.state, "a")
	w.targets[0].Inject(streamtarget.Hang)
	w.accept(a, "j", 2)
	store.refuse.Store(1000)
	w.eventually("one item is done", func() bool {
		return w.targets[0].Runs("j-0")+w.targets[1].Runs("j-0") > 0 && w.targets[0].Runs("j-1")+w.targets[1].Runs("j-1") > 0
	})
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, b.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	store.refuse.Store(0)
	w.eventually("the result that was ready", func() bool {
		got, code := b.results("j", 0)
		return code == http.StatusOK && len(got.Results) == 1 && got.Results[0].State == "completed"
	})
}

func TestJobsThatAreDoneAreRemovedAfterTheirRetention(t *testing.T) {
	w := newWorld(t, 0)
	w.retention = 500 * time.Millisecond
	a := w.start("a", w.state)
	began := time.Now()
	w.accept(a, "done", 3)
	w.finish(a, "done", 3)
	// Silent targets are given up after a second, one after the other: these keep the job open for longer than the test.
	for range int(patience / time.Second) {
		w.targets[0].Inject(streamtarget.Hang)
		w.targets[1].Inject(streamtarget.Hang)
	}
	w.accept(a, "open", 1)
	w.eventually("removal", func() bool { _, code := a.results("done", 0); return code == http.StatusNotFound })
	qt.Assert(t, time.Since(began) >= w.retention, qt.IsTrue)
	for _, table := range []string{"rosemarydyke-job-bodies", "rosemarydyke-job-texts"} {
		page, err := w.state.Read(t.Context(), table, "", rowstore.KeyRange{To: "e"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, page.Rows, qt.HasLen, 0, qt.Commentf("%s", table))
	}
	_, code := a.results("open", 0)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
}

// The former owner is not stopped: it goes on while another VM takes its jobs over, loses answers of the store, and
// may list nothing that the new owner does not know.
func TestItemsAreListedOnceWhateverTheStoreAndTheMembersDo(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 7))
			w := newWorld(t, 0)
			names := []string{"a", "b", "c"}
			stores := map[string]*faulty{}
			for _, name := range names {
				stores[name] = &faulty{Rows: w.state}
				w.start(name, stores[name], "a", "b", "c")
			}
			const jobs, items = 6, 5
			for j := range jobs {
				w.accept(w.vms[names[j%3]], fmt.Sprintf("j%d", j), items)
			}
			shown := map[string][]string{}
			for step := range 60 {
				store := stores[names[random.IntN(3)]]
				store.refuse.Store(random.Int32N(500))
				store.lose.Store(random.Int32N(500))
				alive := names[:1+random.IntN(3)]
				w.vms[names[random.IntN(3)]].members.Set(alive...)
				for _, target := range w.targets {
					if random.IntN(12) == 0 {
						target.Inject(streamtarget.Fault(random.IntN(int(streamtarget.SkipEvent) + 1)))
					}
				}
				job := fmt.Sprintf("j%d", step%jobs)
				if got, code := w.vms[names[random.IntN(3)]].results(job, 0); code == http.StatusOK {
					for position, r := range got.Results {
						if position < len(shown[job]) {
							qt.Assert(t, r.ID, qt.Equals, shown[job][position])
						} else {
							shown[job] = append(shown[job], r.ID)
						}
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			for _, name := range names {
				stores[name].refuse.Store(0)
				stores[name].lose.Store(0)
				w.vms[name].members.Set(names...)
			}
			for j := range jobs {
				job := fmt.Sprintf("j%d", j)
				got := w.finish(w.vms["a"], job, items)
				w.checkWhole(job, items, got)
				for position, id := range shown[job] {
					qt.Assert(t, got.Results[position].ID, qt.Equals, id)
				}
			}
		})
	}
}
