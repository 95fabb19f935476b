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
	"github.com/rosemarydyke/rosemarydyke/internal/evidence"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	service = "llm"
	host    = "a.example"
	events  = 8
	// progressTable and progressPartition locate the progress of unfinished items.
	progressTable, progressPartition = "rosemarydyke-job-progress", "progress"
	// testTimeout bounds the wait for a condition.
	testTimeout = 30 * time.Second
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

// vm is the batch service of one VM. All VMs share a store.
type vm struct {
	*batchjobs.Service
	members *schedulingtest.Members
	stop    context.CancelFunc
	stopped chan struct{}
}

// cluster is a set of VMs with their store and targets.
type cluster struct {
	retention time.Duration
	t         *testing.T
	state     *memory.Platform
	config    *configuration
	targets   []*streamtarget.Target
	slots     *scheduling.Service
	vms       map[string]*vm
	// links are the transports between VMs, by name. A VM without one cannot reach the others.
	links map[string]*link
}

// link is one end of an in-memory transport between two VMs.
type link struct {
	handlers map[peer.Method]peer.CallHandler
	remote   *link
}

// connectVMs connects two VMs that are about to be started.
func (c *cluster) connectVMs(a, b string) {
	first, second := &link{handlers: map[peer.Method]peer.CallHandler{}}, &link{handlers: map[peer.Method]peer.CallHandler{}}
	first.remote, second.remote = second, first
	c.links = map[string]*link{a: first, b: second}
}

func (l *link) HandleCall(method peer.Method, handler peer.CallHandler) { l.handlers[method] = handler }

func (l *link) Call(ctx context.Context, _ netip.AddrPort, method peer.Method, request, _ any) error {
	content, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	_, err = l.remote.handlers[method](ctx, peer.Identity{}, func(into any) error { return cbor.Unmarshal(content, into) })
	return err
}

func newCluster(t *testing.T, quota int64) *cluster {
	return newClusterWithInterval(t, quota, time.Millisecond)
}

// newClusterWithInterval sets the interval between the events of targets.
func newClusterWithInterval(t *testing.T, quota int64, interval time.Duration) *cluster {
	return newClusterOfVersions(t, quota, interval, "v1", "v1")
}

// newClusterPausing starts targets that pause for a while when a pause is injected.
func newClusterPausing(t *testing.T, pause time.Duration) *cluster {
	return newClusterWith(t, 0, streamtarget.Config{Interval: time.Millisecond, Pause: pause}, "v1", "v1")
}

// newClusterOfVersions starts a target of each version.
func newClusterOfVersions(t *testing.T, quota int64, interval time.Duration, versions ...string) *cluster {
	return newClusterWith(t, quota, streamtarget.Config{Interval: interval}, versions...)
}

func newClusterWith(t *testing.T, quota int64, target streamtarget.Config, versions ...string) *cluster {
	c := &cluster{t: t, state: memory.New(), config: newConfiguration(quota), vms: map[string]*vm{}}
	for i, version := range versions {
		target.ID, target.Version, target.Events = fmt.Sprintf("i-%d", i), version, events
		started := streamtarget.Start(target)
		t.Cleanup(started.Close)
		c.targets = append(c.targets, started)
	}
	c.slots = schedulingtest.Start(t, service, 4, c.targets...)
	return c
}

// progressRows returns the stored rows of item progress.
func (c *cluster) progressRows() []rowstore.TableRow {
	page, err := c.state.Read(c.t.Context(), progressTable, progressPartition, rowstore.KeyRange{})
	qt.Assert(c.t, err, qt.IsNil)
	return page.Rows
}

// start starts a VM on a store, which may be faulty.
func (c *cluster) start(name string, store rowstore.Rows, others ...string) *vm {
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{members: schedulingtest.NewMembers(name, others...), stop: cancel, stopped: make(chan struct{})}
	node := batchjobs.Node(schedulingtest.DiscardNode)
	if l := c.links[name]; l != nil {
		node = l
	}
	v.Service = batchjobs.New(batchjobs.Config{
		Quarantine: evidence.NewSharedTracker(quarantine.Config{}),
		VM:         name, Rows: store, Members: v.members, Configuration: c.config, Slots: c.slots,
		Targets: platform.NewTargetClient(&streamtarget.Observer{}, platform.DialFunc(platform.DialTarget)), Node: node, ResultRetention: c.retention, Log: zerolog.Nop(),
	})
	go func() {
		defer close(v.stopped)
		v.Run(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-v.stopped
	})
	c.vms[name] = v
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
		panic("not a job request: " + uri)
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
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > testTimeout {
			c.t.Fatalf("%s: not within %s", what, testTimeout)
		}
	}
}

// submitUntilAccepted submits a job repeatedly until it is accepted.
func (c *cluster) submitUntilAccepted(v *vm, job string, items int) {
	c.t.Helper()
	c.eventually("acceptance of "+job, func() bool { return v.submit(c.config, job, body(job, items, 10)).Code == http.StatusAccepted })
}

// waitForResults waits until all items of a job have a result, and returns the results as a VM reports them.
func (c *cluster) waitForResults(v *vm, job string, items int) results {
	c.t.Helper()
	var all results
	c.eventually("results of "+job, func() bool {
		got, code := v.results(job, 0)
		all = got
		return code == http.StatusOK && len(got.Results) == items
	})
	return all
}

// checkComplete checks that each item has one result, which is completed and has the whole text.
func (c *cluster) checkComplete(job string, items int, got results) {
	c.t.Helper()
	qt.Assert(c.t, got.Total, qt.Equals, items)
	qt.Assert(c.t, got.Next, qt.Equals, items)
	seen := map[string]bool{}
	for _, r := range got.Results {
		qt.Assert(c.t, seen[r.ID], qt.IsFalse, qt.Commentf("%s has two results", r.ID))
		seen[r.ID] = true
		qt.Assert(c.t, r.State, qt.Equals, "completed")
		qt.Assert(c.t, r.Text, qt.Equals, streamtarget.Text(r.ID, events))
	}
}

func TestResubmittedJobRunsEachItemOnce(t *testing.T) {
	c := newCluster(t, 0)
	a, b := c.start("a", c.state, "b"), c.start("b", c.state, "a")
	c.submitUntilAccepted(a, "j1", 12)
	c.submitUntilAccepted(b, "j1", 12)
	c.submitUntilAccepted(a, "j1", 12)
	first := c.waitForResults(a, "j1", 12)
	c.checkComplete("j1", 12, first)
	qt.Assert(t, c.waitForResults(b, "j1", 12), qt.DeepEquals, first)
	part, _ := b.results("j1", 7)
	qt.Assert(t, part.Results, qt.DeepEquals, first.Results[7:])
	for i := range 12 {
		id := fmt.Sprintf("j1-%d", i)
		qt.Assert(t, c.targets[0].Runs(id)+c.targets[1].Runs(id), qt.Equals, 1)
	}
}

func TestRouteQuotaBoundsWaitingTokensOfFleet(t *testing.T) {
	c := newCluster(t, 100)
	c.slots = schedulingtest.Start(t, service, 4) // without targets, no item finishes
	a, b := c.start("a", c.state, "b"), c.start("b", c.state, "a")
	c.submitUntilAccepted(a, "j0", 1)
	var accepted atomic.Int32
	var submissions sync.WaitGroup
	for i := range 20 {
		submissions.Go(func() {
			v := []*vm{a, b}[i%2]
			if v.submit(c.config, fmt.Sprintf("k%d", i), body(fmt.Sprintf("k%d", i), 1, 20)).Code == http.StatusAccepted {
				accepted.Add(1)
			}
		})
	}
	submissions.Wait()
	qt.Assert(t, accepted.Load() <= 4, qt.IsTrue, qt.Commentf("%d jobs of 20 tokens in addition to 10 tokens, quota 100", accepted.Load()))
	qt.Assert(t, accepted.Load() > 0, qt.IsTrue)
	got := a.submit(c.config, "big", body("big", 1, 200))
	qt.Assert(t, got.Code, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, got.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("j0")).Code, qt.Equals, http.StatusOK)
}

func TestEndJob(t *testing.T) {
	c := newCluster(t, 0)
	c.targets[0].Inject(streamtarget.Hang, streamtarget.Hang, streamtarget.Hang)
	c.targets[1].Inject(streamtarget.Hang, streamtarget.Hang, streamtarget.Hang)
	a, b := c.start("a", c.state, "b"), c.start("b", c.state, "a")
	c.submitUntilAccepted(a, "j", 4)
	c.eventually("item runs", func() bool { return c.targets[0].Runs("j-0")+c.targets[1].Runs("j-0") > 0 })
	rec := a.call(http.MethodGet, platform.BodyURI("j", "j-2"))
	qt.Assert(t, rec.Code, qt.Equals, http.StatusOK)
	qt.Assert(t, rec.Body.Bytes(), qt.DeepEquals, []byte{0xab, 0xcd, 0xef})
	qt.Assert(t, b.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	c.eventually("all runs have stopped", func() bool {
		first, _ := c.targets[0].Concurrency()
		second, _ := c.targets[1].Concurrency()
		return first+second == 0
	})
	c.eventually("bodies are not served any longer", func() bool { return a.call(http.MethodGet, platform.BodyURI("j", "j-2")).Code == http.StatusNotFound })
	qt.Assert(t, a.submit(c.config, "j", body("j", 4, 10)).Code, qt.Equals, http.StatusAccepted)
}

func TestUnavailableStoreIsNotReportedAsNotFound(t *testing.T) {
	c := newCluster(t, 0)
	store := &faultyStore{Rows: c.state}
	a := c.start("a", store)
	c.eventually("first read of the table", func() bool {
		return a.call(http.MethodGet, platform.ResultsURI("absent", 0)).Code == http.StatusNotFound
	})
	store.refuse.Store(1000)
	qt.Assert(t, a.call(http.MethodGet, platform.ResultsURI("absent", 0)).Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, a.call(http.MethodDelete, platform.JobURI("absent")).Code, qt.Equals, http.StatusServiceUnavailable)
	code := a.submit(c.config, "j", body("j", 1, 1)).Code
	qt.Assert(t, code, qt.Equals, http.StatusServiceUnavailable)
	store.refuse.Store(0)
	store.loseResponse.Store(1000)
	c.submitUntilAccepted(a, "k", 1)
}

// faultyStore is a store that refuses calls or performs writes without a response, with a probability in
// thousandths.
type faultyStore struct {
	rowstore.Rows
	refuse, loseResponse atomic.Int32
}

func faultOccurs(permille *atomic.Int32) bool { return rand.Int32N(1000) < permille.Load() }

func (f *faultyStore) Read(ctx context.Context, table, part string, keys rowstore.KeyRange) (rowstore.Page, error) {
	if faultOccurs(&f.refuse) {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return f.Rows.Read(ctx, table, part, keys)
}

func (f *faultyStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if faultOccurs(&f.refuse) {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return f.Rows.Follow(ctx, table, after, wait)
}

func (f *faultyStore) Apply(ctx context.Context, txn rowstore.RowTxn) (uint64, error) {
	if faultOccurs(&f.refuse) {
		return 0, rowstore.ErrUnavailable
	}
	version, err := f.Rows.Apply(ctx, txn)
	if faultOccurs(&f.loseResponse) {
		return 0, rowstore.ErrOutcomeUnknown
	}
	return version, err
}

// Guards against a result that is never committed because the client ends the job just after the item is done.
func TestReadyResultIsCommittedAfterJobEnds(t *testing.T) {
	c := newCluster(t, 0)
	store := &faultyStore{Rows: c.state}
	a, b := c.start("a", store, "b"), c.start("b", c.state, "a")
	c.targets[0].Inject(streamtarget.Hang)
	c.submitUntilAccepted(a, "j", 2)
	store.refuse.Store(1000)
	c.eventually("both items run", func() bool {
		return c.targets[0].Runs("j-0")+c.targets[1].Runs("j-0") > 0 && c.targets[0].Runs("j-1")+c.targets[1].Runs("j-1") > 0
	})
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, b.call(http.MethodDelete, platform.JobURI("j")).Code, qt.Equals, http.StatusOK)
	store.refuse.Store(0)
	c.eventually("ready result is committed", func() bool {
		got, code := b.results("j", 0)
		return code == http.StatusOK && len(got.Results) == 1 && got.Results[0].State == "completed"
	})
}

func TestCompletedJobsAreRemovedAfterRetention(t *testing.T) {
	c := newCluster(t, 0)
	c.retention = 500 * time.Millisecond
	a := c.start("a", c.state)
	began := time.Now()
	c.submitUntilAccepted(a, "done", 3)
	c.waitForResults(a, "done", 3)
	// An item leaves a hanging target after a second, so that these faults keep the job open for longer than
	// the test.
	for range int(testTimeout / time.Second) {
		c.targets[0].Inject(streamtarget.Hang)
		c.targets[1].Inject(streamtarget.Hang)
	}
	c.submitUntilAccepted(a, "open", 1)
	c.eventually("removal", func() bool { _, code := a.results("done", 0); return code == http.StatusNotFound })
	qt.Assert(t, time.Since(began) >= c.retention, qt.IsTrue)
	for _, table := range []string{"rosemarydyke-job-bodies", "rosemarydyke-job-texts"} {
		page, err := c.state.Read(t.Context(), table, "", rowstore.KeyRange{To: "e"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, page.Rows, qt.HasLen, 0, qt.Commentf("%s", table))
	}
	_, code := a.results("open", 0)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
}

// The former owner keeps running while another VM takes its jobs over, and loses responses of the store. It
// must not commit anything that the new owner does not know.
func TestResultsAreCommittedOnceDespiteFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 7))
			c := newCluster(t, 0)
			names := []string{"a", "b", "c"}
			stores := map[string]*faultyStore{}
			for _, name := range names {
				stores[name] = &faultyStore{Rows: c.state}
				c.start(name, stores[name], "a", "b", "c")
			}
			const jobs, items = 6, 5
			for j := range jobs {
				c.submitUntilAccepted(c.vms[names[j%3]], fmt.Sprintf("j%d", j), items)
			}
			seen := map[string][]string{}
			for step := range 60 {
				store := stores[names[random.IntN(3)]]
				store.refuse.Store(random.Int32N(500))
				store.loseResponse.Store(random.Int32N(500))
				alive := names[:1+random.IntN(3)]
				c.vms[names[random.IntN(3)]].members.Set(alive...)
				for _, target := range c.targets {
					if random.IntN(12) == 0 {
						target.Inject(streamtarget.Fault(random.IntN(int(streamtarget.SkipEvent) + 1)))
					}
				}
				job := fmt.Sprintf("j%d", step%jobs)
				if got, code := c.vms[names[random.IntN(3)]].results(job, 0); code == http.StatusOK {
					for position, r := range got.Results {
						if position < len(seen[job]) {
							qt.Assert(t, r.ID, qt.Equals, seen[job][position])
						} else {
							seen[job] = append(seen[job], r.ID)
						}
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			for _, name := range names {
				stores[name].refuse.Store(0)
				stores[name].loseResponse.Store(0)
				c.vms[name].members.Set(names...)
			}
			for j := range jobs {
				job := fmt.Sprintf("j%d", j)
				got := c.waitForResults(c.vms["a"], job, items)
				c.checkComplete(job, items, got)
				for position, id := range seen[job] {
					qt.Assert(t, got.Results[position].ID, qt.Equals, id)
				}
			}
		})
	}
}
