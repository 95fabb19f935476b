package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

const (
	// jobInterval is the time between questions about the held jobs. A cancel is seen within it.
	jobInterval = 1500 * time.Millisecond
	// jobTableTimeout bounds the table's answer, jobPeerTimeout that of other runners.
	jobTableTimeout = 800 * time.Millisecond
	jobPeerTimeout  = 800 * time.Millisecond
	// askedPeers is the number of other runners asked when the table does not answer.
	askedPeers = 3
)

// methodJobs asks a batch process to read the rows of jobs: jobsQuestion to jobsAnswer.
const methodJobs = "batch.jobs"

type jobsQuestion struct {
	IDs []string `cbor:"1,keyasint"`
}

type jobsAnswer struct {
	// Read says that the table answered.
	Read bool `cbor:"1,keyasint"`
	// Cancelled are those of the jobs that are cancelled.
	Cancelled []string `cbor:"2,keyasint,omitempty"`
}

// jobLoop learns of cancels of the jobs whose chunks are held.
func (r *Runner) jobLoop(ctx context.Context) error {
	for {
		r.askJobs(ctx)
		if !tick(ctx, jobInterval, nil) {
			return nil
		}
	}
}

// askJobs confirms that the held jobs are not cancelled. Items may be sent only for a short time
// after the last confirmation was asked for, so that a process which was paused or is cut off stops by itself.
func (r *Runner) askJobs(ctx context.Context) {
	asked := time.Now()
	chunks, ids := r.heldJobs()
	if !r.readJobs(ctx, ids) && !r.askPeers(ctx, ids) {
		r.metrics.jobsUnconfirmed.Inc()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A chunk that was taken meanwhile is not among those that were asked about.
	for _, h := range chunks {
		h.confirmedAt = asked
	}
	wake(r.demandSoon)
}

func (r *Runner) readJobs(ctx context.Context, ids []string) bool {
	ctx, cancel := context.WithTimeout(ctx, jobTableTimeout)
	defer cancel()
	records, err := r.config.Store.Jobs(ctx, ids)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.adopt(record)
	}
	return true
}

// askPeers asks other runners to read the jobs. It also succeeds when they cannot read them
// either: while the table is down for all, no cancel can be accepted and held work may go on. A
// runner that reaches neither the table nor another runner is cut off, and cancels may be accepted without it.
func (r *Runner) askPeers(ctx context.Context, ids []string) bool {
	peers := r.config.Peers()
	if len(peers) == 0 {
		return true
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), askedPeers)]
	answers := r.answersOf(ctx, peers, ids)
	for _, answer := range answers {
		for _, id := range answer.Cancelled {
			r.stopJob(id)
		}
	}
	return len(answers) > 0
}

func (r *Runner) answersOf(ctx context.Context, peers []netip.AddrPort, ids []string) []jobsAnswer {
	ctx, cancel := context.WithTimeout(ctx, jobPeerTimeout)
	defer cancel()
	answers := make([]jobsAnswer, len(peers))
	failed := make([]bool, len(peers))
	var group errgroup.Group
	for i, p := range peers {
		group.Go(func() error {
			failed[i] = r.config.Caller.Call(ctx, p, methodJobs, jobsQuestion{IDs: ids}, &answers[i]) != nil
			return nil
		})
	}
	_ = group.Wait()
	var given []jobsAnswer
	for i := range answers {
		if !failed[i] {
			given = append(given, answers[i])
		}
	}
	return given
}

// handleJobs answers methodJobs.
func (r *Runner) handleJobs(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var q jobsQuestion
	if err := decode(&q); err != nil {
		return nil, err
	}
	// The answer must be back before the asker gives up.
	ctx, cancel := context.WithTimeout(ctx, jobPeerTimeout/2)
	defer cancel()
	records, err := r.config.Store.Jobs(ctx, q.IDs)
	answer := jobsAnswer{Read: err == nil}
	for _, record := range records {
		if record.Job.IsCancelled() {
			answer.Cancelled = append(answer.Cancelled, record.Job.ID)
		}
	}
	return answer, nil
}

// heldJobs returns the held chunks and the ids of their jobs.
func (r *Runner) heldJobs() (chunks []*heldChunk, ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]struct{}{}
	for _, h := range r.held {
		chunks = append(chunks, h)
		id := h.record.Job.ID
		if _, ok := seen[id]; !ok {
			seen[id] = struct{}{}
			ids = append(ids, id)
		}
	}
	return chunks, ids
}

// adopt takes in a job's present row. The caller holds the lock.
func (r *Runner) adopt(record *jobstore.Record) {
	for _, h := range r.held {
		if h.record.Job.ID != record.Job.ID || h.record.Job.IsCancelled() {
			continue
		}
		h.record = record
		if record.Job.IsCancelled() {
			h.stop(errJobCancelled)
			wake(r.settleSoon)
		}
	}
}

// stopJob cancels the running items of a job and sends no more, whether the table can be read or not.
func (r *Runner) stopJob(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.record.Job.ID == id {
			h.stop(errJobCancelled)
		}
	}
}

// refreshJob reads the row of a job that is known to have changed.
func (r *Runner) refreshJob(ctx context.Context, id string) error {
	record, err := r.config.Store.GetAny(ctx, id)
	if errors.Is(err, jobstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt(record)
	return nil
}

// handleCancelled answers jobstore.MethodCancelled.
func (r *Runner) handleCancelled(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var m jobstore.Cancelled
	if err := decode(&m); err != nil {
		return nil, err
	}
	r.stopJob(m.Job)
	return struct{}{}, r.refreshJob(ctx, m.Job)
}
