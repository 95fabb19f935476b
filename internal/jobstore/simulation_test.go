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

// unknownAsUnavailable hides from CommitSettled that a response was lost.
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
	// failingPuts is the number of coming puts to the object store that fail.
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
	sim := &simulation{t: t, ctx: context.Background(), protocol: p, platform: memory.New(), leases: map[string]clockLease{}, now: time.Now()}
	sim.directStore = sim.newStore(sim.platform)
	sim.oracle = newOracle()
	input := simInput(t, sim.oracle)
	file, err := sim.directStore.CreateFile(sim.ctx, "client", "in", "batch", strings.NewReader(input), 1<<20)
	sim.must(err)
	rules := job.Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	chunks, items, err := job.Split(strings.NewReader(input), rules)
	sim.must(err)
	sim.spec = Spec{
		Client: "client", Endpoint: rules.Endpoint, CompletionWindow: time.Hour, InputFile: file.ID,
		IdempotencyKey: "key", RequestDigest: "identity", Chunks: chunks, Items: items,
	}
	for range simRunners {
		table := faulty.New(sim.platform)
		sim.tables = append(sim.tables, table)
		sim.runners = append(sim.runners, &simRunner{sim: sim})
	}
	for i := range sim.runners {
		sim.restart(i)
	}
	record, err := sim.runners[0].store.Create(sim.ctx, sim.spec)
	sim.must(err)
	sim.job = record.Job.ID
	return sim
}

// newStore returns a store with sequential IDs, so that a seed gives the same run again.
func (sim *simulation) newStore(table platform.Table) *Store {
	s := New(table, faultyObjects{sim.platform.Objects(), &sim.failingPuts})
	s.newID = func() string {
		sim.lastID++
		return fmt.Sprintf("%06d", sim.lastID)
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

func (sim *simulation) must(err error) {
	if err != nil {
		sim.t.Fatal(err)
	}
}

func (sim *simulation) restart(i int) {
	sim.runners[i].id = sim.directStore.NewOperation()
	sim.runners[i].clockSkew = rapid.IntRange(-2*simLeaseSteps, 2*simLeaseSteps).Draw(sim.t, "skew")
	sim.runners[i].store = sim.newStore(sim.tables[i])
	sim.runners[i].held = map[string]*simChunk{}
}

func (sim *simulation) pickRunner() *simRunner {
	sim.clock++
	return sim.runners[rapid.IntRange(0, simRunners-1).Draw(sim.t, "runner")]
}

// pickChunk draws one of the runner's chunks that match. Chunks are sorted, so that a seed gives the same run again.
func (sim *simulation) pickChunk(r *simRunner, matches func(*simChunk) bool) *simChunk {
	var chunks []*simChunk
	for _, key := range sortedKeys(r.held) {
		if matches(r.held[key]) {
			chunks = append(chunks, r.held[key])
		}
	}
	if len(chunks) == 0 {
		return nil
	}
	h := chunks[rapid.IntRange(0, len(chunks)-1).Draw(sim.t, "chunk")]
	if sim.leases[h.work.Key].holder == r.id {
		sim.leases[h.work.Key] = clockLease{holder: r.id, renewedAt: r.clock()}
	}
	return h
}

func (sim *simulation) claim(*rapid.T) {
	r := sim.pickRunner()
	open, err := r.store.OpenWork(sim.ctx, "", simItems)
	if err != nil || len(open) == 0 {
		return
	}
	work := open[rapid.IntRange(0, len(open)-1).Draw(sim.t, "work")]
	if _, ok := r.held[work.Key]; ok || !sim.protocol.mayClaim(r, work) {
		return
	}
	sim.claimWork(r, work)
}

func (sim *simulation) claimWork(r *simRunner, work *Work) {
	claimed, err := r.store.Claim(sim.ctx, work, r.id)
	if errors.Is(err, ErrFenced) {
		return
	}
	sim.must(err)
	record, err := sim.directStore.GetAny(sim.ctx, sim.job)
	sim.must(err)
	lines, err := sim.directStore.Lines(sim.ctx, &record.Job, claimed.Chunk)
	sim.must(err)
	run, err := job.NewRun(claimed.Chunk, lines, job.Policy{}, sim.now)
	sim.must(err)
	sim.leases[work.Key] = clockLease{holder: r.id, renewedAt: r.clock()}
	r.held[work.Key] = &simChunk{work: claimed, record: record, run: run}
}

func (sim *simulation) commitIntents(*rapid.T) {
	r := sim.pickRunner()
	h := sim.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.run.Intents()) > 0 })
	if h == nil {
		return
	}
	row := h.run.WithIntents(h.run.Intents(), sim.directStore.NewOperation())
	work, err := r.store.Replace(sim.ctx, h.work, row, h.record)
	if sim.handleCommitError(r, h, err) {
		h.work = work
		h.run.Committed(row, sim.now)
	}
}

// handleCommitError handles the error of a commit. It reports whether the commit took effect.
func (sim *simulation) handleCommitError(r *simRunner, h *simChunk, err error) bool {
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrCancelled):
		record, err := sim.directStore.GetAny(sim.ctx, sim.job)
		sim.must(err)
		h.record = record
	case errors.Is(err, ErrFenced):
		delete(r.held, h.work.Key)
	default:
		sim.must(err)
	}
	return false
}

func (sim *simulation) dispatch(*rapid.T) {
	r := sim.pickRunner()
	h := sim.pickChunk(r, func(h *simChunk) bool { return !h.record.Job.IsCancelled() })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, simItems).Draw(sim.t, "items") {
		if !sim.dispatchOne(h) {
			return
		}
	}
}

func (sim *simulation) dispatchOne(h *simChunk) bool {
	if !sim.protocol.recordsIntents() {
		if indexes := h.run.Intents(); len(indexes) > 0 {
			h.run.Committed(h.run.WithIntents(indexes, h.run.Chunk().Operation), sim.now)
		}
	}
	d, ok := h.run.Next(sim.now)
	if ok {
		h.running = append(h.running, d.Index)
		sim.oracle.recordDispatch(d.Line.CustomID)
	}
	return ok
}

func (sim *simulation) endAttempts(*rapid.T) {
	r := sim.pickRunner()
	h := sim.pickChunk(r, func(h *simChunk) bool { return len(h.running) > 0 })
	if h == nil {
		return
	}
	for range rapid.IntRange(1, len(h.running)).Draw(sim.t, "finished attempts") {
		index := h.running[0]
		h.running = h.running[1:]
		sim.endAttempt(h, index, rapid.IntRange(0, 5).Draw(sim.t, "outcome"))
	}
}

func (sim *simulation) endAttempt(h *simChunk, index, outcome int) {
	now := sim.now
	switch outcome {
	case 0:
		h.run.Failed(index, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut}, now)
	case 1:
		sim.oracle.recordNotRun(h.run.Line(index).CustomID)
		h.run.Failed(index, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded}, now)
	case 2:
		h.run.Preempted(index, job.Partial{Text: "part", Tokens: 1}, now)
	default:
		// Each response is unique, so that a changed result is detected.
		h.run.Answered(index, 200, "id", []byte(fmt.Sprintf(`{"answer":%q}`, sim.directStore.NewOperation())), now)
	}
	// Time advances past every retry delay, since retry delays are not under test.
	sim.now = sim.now.Add(time.Minute)
}

func (sim *simulation) putSegment(*rapid.T) {
	r := sim.pickRunner()
	if h := sim.pickChunk(r, func(h *simChunk) bool { return h.staged == nil }); h != nil {
		sim.stageSegment(r, h)
	}
}

func (sim *simulation) stageSegment(r *simRunner, h *simChunk) {
	closesChunk := h.record.Job.IsCancelled()
	if closesChunk {
		h.run.Stop()
		h.run.ResolveIntents(sim.now)
		h.running = nil
	}
	operation := sim.directStore.NewOperation()
	batch := h.run.Collect()
	if len(batch.Results) == 0 {
		if closesChunk {
			h.staged = &stagedCommit{row: h.run.WithOperation(operation), closesChunk: true, leaseValid: r.hasLease(h)}
		}
		return
	}
	segment, err := r.store.PutSegment(sim.ctx, h.run.Chunk(), operation, batch.Results)
	sim.must(err)
	row := h.run.WithBatch(batch, segment, operation)
	h.staged = &stagedCommit{row: row, segment: segment, closesChunk: closesChunk || row.IsDone(), leaseValid: r.hasLease(h)}
}

func (sim *simulation) commit(*rapid.T) {
	r := sim.pickRunner()
	if h := sim.pickChunk(r, func(h *simChunk) bool { return h.staged != nil }); h != nil {
		sim.commitStaged(r, h)
	}
}

func (sim *simulation) commitStaged(r *simRunner, h *simChunk) {
	s := *h.staged
	h.staged = nil
	if !sim.handleCommitError(r, h, sim.protocol.replace(sim.ctx, r, h, s)) {
		return
	}
	h.run.Committed(s.row, sim.now)
	if s.closesChunk {
		delete(r.held, h.work.Key)
	}
}

func (sim *simulation) release(*rapid.T) {
	r := sim.pickRunner()
	h := sim.pickChunk(r, func(h *simChunk) bool { return h.staged == nil && len(h.running) == 0 })
	if h == nil {
		return
	}
	err := r.store.Release(sim.ctx, h.work, h.run.Released(sim.directStore.NewOperation()))
	if err != nil && !errors.Is(err, ErrFenced) {
		sim.must(err)
	}
	delete(r.held, h.work.Key)
}

func (sim *simulation) crash(*rapid.T) {
	sim.clock++
	if rapid.IntRange(0, 3).Draw(sim.t, "rarely") > 0 {
		sim.t.Skip("kills are rare")
	}
	sim.restart(rapid.IntRange(0, simRunners-1).Draw(sim.t, "killed"))
}

func (sim *simulation) cancel(*rapid.T) {
	if sim.cancelled || rapid.IntRange(0, 19).Draw(sim.t, "rarely") > 0 {
		sim.t.Skip("cancels are rare")
	}
	record, err := sim.pickRunner().store.Cancel(sim.ctx, sim.job)
	sim.must(err)
	sim.cancelled = record.Job.IsCancelled()
}

// resend is a client that retries the creation of its job, through a VM that may not know of the first request.
func (sim *simulation) resend(*rapid.T) {
	record, err := sim.pickRunner().store.Create(sim.ctx, sim.spec)
	sim.must(err)
	if record.Job.ID != sim.job {
		sim.t.Fatalf("a retried request created a second job")
	}
}

func (sim *simulation) inject(*rapid.T) {
	sim.clock++
	table := sim.tables[rapid.IntRange(0, simRunners-1).Draw(sim.t, "table")]
	faults := rapid.SliceOfN(rapid.SampledFrom([]faulty.Fault{
		faulty.Unavailable, faulty.ReplyLost, faulty.RequestLost, faulty.Delayed,
	}), 1, 3).Draw(sim.t, "faults")
	table.Inject(faults...)
	sim.failingPuts = rapid.IntRange(0, 3).Draw(sim.t, "failing puts")
}

func (sim *simulation) flush() {
	sim.clock++
	for _, table := range sim.tables {
		table.Flush(sim.ctx)
	}
}

// completeWithoutFaults ends all faults and lets one runner complete the job.
func (sim *simulation) completeWithoutFaults() {
	sim.flush()
	for i := range sim.runners {
		sim.restart(i)
	}
	r := sim.runners[0]
	r.store = sim.directStore
	for range 100 {
		open, err := sim.directStore.OpenWork(sim.ctx, "", simItems)
		sim.must(err)
		if len(open) == 0 {
			return
		}
		sim.claimWork(r, open[0])
		sim.completeChunk(r, r.held[open[0].Key])
	}
	sim.t.Fatal("the job did not finish within 100 claims")
}

func (sim *simulation) completeChunk(r *simRunner, h *simChunk) {
	for h != nil && r.held[h.work.Key] == h {
		if indexes := h.run.Intents(); len(indexes) > 0 && !h.record.Job.IsCancelled() {
			row := h.run.WithIntents(indexes, sim.directStore.NewOperation())
			work, err := sim.directStore.Replace(sim.ctx, h.work, row, h.record)
			sim.must(err)
			h.work = work
			h.run.Committed(row, sim.now)
		}
		for !h.record.Job.IsCancelled() && sim.dispatchOne(h) {
			sim.endAttempt(h, h.running[0], 3)
			h.running = h.running[1:]
		}
		sim.stageSegment(r, h)
		if h.staged != nil {
			sim.commitStaged(r, h)
		}
	}
}
