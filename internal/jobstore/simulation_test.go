package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	simRunners = 3
	simItems   = 40
	// simLeaseSteps is the term of a lease of wallClockLease, in simulation steps.
	simLeaseSteps = 16
)

// unknownAsUnavailable hides from CommitWithRetry that a response was lost.
type unknownAsUnavailable struct{ platform.Table }

// Commit implements platform.Table.
func (t unknownAsUnavailable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	version, err := t.Table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = platform.ErrUnavailable
	}
	return version, err
}

// faultyObjects is an object store whose next failingPuts puts fail, half of them after they took effect.
type faultyObjects struct {
	platform.Objects
	failingPuts *int
}

// Put implements platform.Objects.
func (o faultyObjects) Put(ctx context.Context, name string, content []byte) error {
	if *o.failingPuts == 0 {
		return o.Objects.Put(ctx, name, content)
	}
	*o.failingPuts--
	if *o.failingPuts%2 == 0 {
		return platform.ErrUnavailable
	}
	_ = o.Objects.Put(ctx, name, content)
	return platform.ErrOutcomeUnknown
}

// simulation is a platform with one job and several runners.
type simulation struct {
	t           *rapid.T
	ctx         context.Context
	protocol    commitProtocol
	platform    *memory.Platform
	directStore *Store
	tables      []*faulty.Table
	runners     []*simRunner
	spec        Spec
	job         string
	cancelled   bool
	oracle      *oracle
	clock       int
	lastID      int
	// failingPuts is the number of puts to the object store, starting with the next one, that fail.
	failingPuts int
	now         time.Time
	// leases holds the leases of wallClockLease by chunk key.
	leases map[string]clockLease
}

// clockLease is a lease whose last renewal is given by the holder's clock.
type clockLease struct {
	holder    string
	renewedAt int
}

// simRunner is a runner whose steps rapid chooses. A runner that is not chosen for a while acts like a paused process.
type simRunner struct {
	sim       *simulation
	id        string
	clockSkew int
	store     *Store
	held      map[string]*simChunk
}

type simChunk struct {
	work    *Work
	record  *Record
	run     *job.Run
	running []int
	staged  *stagedCommit
}

// stagedCommit is a segment that is stored but not yet referenced by its chunk's row.
type stagedCommit struct {
	row         *job.Chunk
	segment     job.Segment
	closesChunk bool
	// leaseValid means that the runner's lease was valid by its own clock when the segment was stored.
	leaseValid bool
}

func (r *simRunner) clock() int { return r.sim.clock + r.clockSkew }

// hasLease reports whether the lease is valid by the runner's own clock.
func (r *simRunner) hasLease(h *simChunk) bool {
	lease := r.sim.leases[h.work.Key]
	return lease.holder == r.id && lease.renewedAt+simLeaseSteps >= r.clock()
}

func newSimulation(t *rapid.T, p commitProtocol) *simulation {
	w := &simulation{t: t, ctx: context.Background(), protocol: p, platform: memory.New(), leases: map[string]clockLease{}, now: time.Now()}
	w.directStore = w.newStore(w.platform)
	w.oracle = newOracle()
	input := simInput(t, w.oracle)
	file, err := w.directStore.CreateFile(w.ctx, "client", "in", "batch", strings.NewReader(input), 1<<20)
	w.must(err)
	rules := job.Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	chunks, items, err := job.Split(strings.NewReader(input), rules)
	w.must(err)
	w.spec = Spec{
		Client: "client", Endpoint: rules.Endpoint, CompletionWindow: time.Hour, InputFile: file.ID,
		IdempotencyKey: "key", RequestDigest: "identity", Chunks: chunks, Items: items,
	}
	for range simRunners {
		table := faulty.New(w.platform)
		w.tables = append(w.tables, table)
		w.runners = append(w.runners, &simRunner{sim: w})
	}
	for i := range w.runners {
		w.restart(i)
	}
	record, err := w.runners[0].store.Create(w.ctx, w.spec)
	w.must(err)
	w.job = record.Job.ID
	return w
}

// newStore returns a store with sequential IDs, so that a seed gives the same run again.
func (w *simulation) newStore(table platform.Table) *Store {
	s := New(table, faultyObjects{w.platform.Objects(), &w.failingPuts})
	s.newID = func() string {
		w.lastID++
		return fmt.Sprintf("%06d", w.lastID)
	}
	return s
}

func simInput(t *rapid.T, o *oracle) string {
	var input strings.Builder
	for i := range simItems {
		id := fmt.Sprintf("c%d", i)
		idempotent := i%4 != 0
		o.isIdempotent[id] = idempotent
		fmt.Fprintf(&input, `{"custom_id":%q,"method":"POST","url":"/v1/completions","idempotent":%t,"body":{"model":"m"}}`+"\n", id, idempotent)
	}
	return input.String()
}

func (w *simulation) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *simulation) restart(i int) {
	w.runners[i].id = w.directStore.NewOperation()
	w.runners[i].clockSkew = rapid.IntRange(-2*simLeaseSteps, 2*simLeaseSteps).Draw(w.t, "skew")
	w.runners[i].store = w.newStore(w.tables[i])
	w.runners[i].held = map[string]*simChunk{}
}

func (w *simulation) pickRunner() *simRunner {
	w.clock++
	return w.runners[rapid.IntRange(0, simRunners-1).Draw(w.t, "runner")]
}

// pickChunk draws one of the runner's chunks that match. Chunks are sorted, so that a seed gives the same run again.
func (w *simulation) pickChunk(r *simRunner, matches func(*simChunk) bool) *simChunk {
	var chunks []*simChunk
	for _, key := range sortedKeys(r.held) {
		if matches(r.held[key]) {
			chunks = append(chunks, r.held[key])
		}
	}
	if len(chunks) == 0 {
		return nil
	}
	h := chunks[rapid.IntRange(0, len(chunks)-1).Draw(w.t, "chunk")]
	if w.leases[h.work.Key].holder == r.id {
		w.leases[h.work.Key] = clockLease{holder: r.id, renewedAt: r.clock()}
	}
	return h
}

func (w *simulation) claim(*rapid.T) {
	r := w.pickRunner()
	open, err := r.store.OpenWork(w.ctx, "", simItems)
	if err != nil || len(open) == 0 {
		return
	}
	work := open[rapid.IntRange(0, len(open)-1).Draw(w.t, "work")]
	if _, ok := r.held[work.Key]; ok || !w.protocol.mayClaim(r, work) {
		return
	}
	w.claimWork(r, work)
}

func (w *simulation) claimWork(r *simRunner, work *Work) {
	claimed, err := r.store.Claim(w.ctx, work, r.id)
	if errors.Is(err, ErrFenced) {
		return
	}
	w.must(err)
	record, err := w.directStore.GetAny(w.ctx, w.job)
	w.must(err)
	lines, err := w.directStore.Lines(w.ctx, &record.Job, claimed.Chunk)
	w.must(err)
	run, err := job.NewRun(claimed.Chunk, lines, job.Policy{}, w.now)
	w.must(err)
	w.leases[work.Key] = clockLease{holder: r.id, renewedAt: r.clock()}
	r.held[work.Key] = &simChunk{work: claimed, record: record, run: run}
}

func (w *simulation) commitIntents(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.run.Intents()) > 0 })
	if h == nil {
		return
	}
	row := h.run.WithIntents(h.run.Intents(), w.directStore.NewOperation())
	work, err := r.store.Replace(w.ctx, h.work, row, h.record)
	if w.handleCommitError(r, h, err) {
		h.work = work
		h.run.Committed(row, w.now)
	}
}

// handleCommitError handles the error of a commit. It reports whether the commit took effect.
func (w *simulation) handleCommitError(r *simRunner, h *simChunk, err error) bool {
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrCancelled):
		record, err := w.directStore.GetAny(w.ctx, w.job)
		w.must(err)
		h.record = record
	case errors.Is(err, ErrFenced):
		delete(r.held, h.work.Key)
	default:
		w.must(err)
	}
	return false
}

func (w *simulation) dispatch(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return !h.record.Job.IsCancelled() })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, simItems).Draw(w.t, "items") {
		if !w.dispatchOne(h) {
			return
		}
	}
}

func (w *simulation) dispatchOne(h *simChunk) bool {
	if !w.protocol.recordsIntents() {
		if indexes := h.run.Intents(); len(indexes) > 0 {
			h.run.Committed(h.run.WithIntents(indexes, h.run.Chunk().Operation), w.now)
		}
	}
	d, ok := h.run.Next(w.now)
	if ok {
		h.running = append(h.running, d.Index)
		w.oracle.recordDispatch(d.Line.CustomID)
	}
	return ok
}

func (w *simulation) endAttempts(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return len(h.running) > 0 })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, len(h.running)).Draw(w.t, "finished attempts") {
		index := h.running[0]
		h.running = h.running[1:]
		w.endAttempt(h, index, rapid.IntRange(0, 5).Draw(w.t, "outcome"))
	}
}

func (w *simulation) endAttempt(h *simChunk, index, outcome int) {
	now := w.now
	switch outcome {
	case 0:
		h.run.Failed(index, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut}, now)
	case 1:
		w.oracle.recordNotRun(h.run.Line(index).CustomID)
		h.run.Failed(index, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded}, now)
	case 2:
		h.run.Preempted(index, job.Partial{Text: "part", Tokens: 1}, now)
	default:
		// Each response is unique, so that a changed result is detected.
		h.run.Answered(index, 200, "id", []byte(fmt.Sprintf(`{"answer":%q}`, w.directStore.NewOperation())), now)
	}
	// Time advances past every retry delay, since retry delays are not under test.
	w.now = w.now.Add(time.Minute)
}

func (w *simulation) putSegment(*rapid.T) {
	r := w.pickRunner()
	if h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil }); h != nil {
		w.stageSegment(r, h)
	}
}

func (w *simulation) stageSegment(r *simRunner, h *simChunk) {
	closesChunk := h.record.Job.IsCancelled()
	if closesChunk {
		h.run.Stop()
		h.run.ResolveIntents(w.now)
		h.running = nil
	}
	operation := w.directStore.NewOperation()
	batch := h.run.Collect()
	if len(batch.Results) == 0 {
		if closesChunk {
			h.staged = &stagedCommit{row: h.run.WithOperation(operation), closesChunk: true, leaseValid: r.hasLease(h)}
		}
		return
	}
	segment, err := r.store.PutSegment(w.ctx, h.run.Chunk(), operation, batch.Results)
	w.must(err)
	row := h.run.WithResults(batch, segment, operation)
	h.staged = &stagedCommit{row: row, segment: segment, closesChunk: closesChunk || row.IsDone(), leaseValid: r.hasLease(h)}
}

func (w *simulation) commit(*rapid.T) {
	r := w.pickRunner()
	if h := w.pickChunk(r, func(h *simChunk) bool { return h.staged != nil }); h != nil {
		w.commitStaged(r, h)
	}
}

func (w *simulation) commitStaged(r *simRunner, h *simChunk) {
	s := *h.staged
	h.staged = nil
	if !w.handleCommitError(r, h, w.protocol.replace(w.ctx, r, h, s)) {
		return
	}
	h.run.Committed(s.row, w.now)
	if s.closesChunk {
		delete(r.held, h.work.Key)
	}
}

func (w *simulation) release(*rapid.T) {
	r := w.pickRunner()
	h := w.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.running) == 0 })
	if h == nil {
		return
	}
	err := r.store.Release(w.ctx, h.work, h.run.Released(w.directStore.NewOperation()))
	if err != nil && !errors.Is(err, ErrFenced) {
		w.must(err)
	}
	delete(r.held, h.work.Key)
}

func (w *simulation) crash(*rapid.T) {
	w.clock++
	if rapid.IntRange(0, 3).Draw(w.t, "rarely") > 0 {
		w.t.Skip("crashes are rare")
	}
	w.restart(rapid.IntRange(0, simRunners-1).Draw(w.t, "killed"))
}

func (w *simulation) cancel(*rapid.T) {
	if w.cancelled || rapid.IntRange(0, 19).Draw(w.t, "rarely") > 0 {
		w.t.Skip("cancellations are rare")
	}
	record, err := w.pickRunner().store.Cancel(w.ctx, w.job)
	w.must(err)
	w.cancelled = record.Job.IsCancelled()
}

// resend is a client that retries the creation of its job, through a VM that may not know of the first request.
func (w *simulation) resend(*rapid.T) {
	record, err := w.pickRunner().store.Create(w.ctx, w.spec)
	w.must(err)
	if record.Job.ID != w.job {
		w.t.Fatalf("a retried request created a second job")
	}
}

func (w *simulation) inject(*rapid.T) {
	w.clock++
	table := w.tables[rapid.IntRange(0, simRunners-1).Draw(w.t, "table")]
	faults := rapid.SliceOfN(rapid.SampledFrom([]faulty.Fault{
		faulty.Unavailable, faulty.ResponseLost, faulty.RequestLost, faulty.Delayed,
	}), 1, 3).Draw(w.t, "faults")
	table.Inject(faults...)
	w.failingPuts = rapid.IntRange(0, 3).Draw(w.t, "failing puts")
}

func (w *simulation) flush() {
	w.clock++
	for _, table := range w.tables {
		table.Flush(w.ctx)
	}
}

// completeWithoutFaults ends all faults and lets one runner complete the job.
func (w *simulation) completeWithoutFaults() {
	w.flush()
	for i := range w.runners {
		w.restart(i)
	}
	r := w.runners[0]
	r.store = w.directStore
	for range 100 {
		open, err := w.directStore.OpenWork(w.ctx, "", simItems)
		w.must(err)
		if len(open) == 0 {
			return
		}
		w.claimWork(r, open[0])
		w.completeChunk(r, r.held[open[0].Key])
	}
	w.t.Fatal("the job did not finish within 100 claims")
}

func (w *simulation) completeChunk(r *simRunner, h *simChunk) {
	for h != nil && r.held[h.work.Key] == h {
		if indexes := h.run.Intents(); len(indexes) > 0 && !h.record.Job.IsCancelled() {
			row := h.run.WithIntents(indexes, w.directStore.NewOperation())
			work, err := w.directStore.Replace(w.ctx, h.work, row, h.record)
			w.must(err)
			h.work = work
			h.run.Committed(row, w.now)
		}
		for !h.record.Job.IsCancelled() && w.dispatchOne(h) {
			w.endAttempt(h, h.running[0], 3)
			h.running = h.running[1:]
		}
		w.stageSegment(r, h)
		if h.staged != nil {
			w.commitStaged(r, h)
		}
	}
}
