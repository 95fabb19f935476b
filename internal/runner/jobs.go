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
	// jobCheckInterval is the time between checks of the held jobs. A cancellation is seen within it.
	jobCheckInterval = 1500 * time.Millisecond
	// jobTableTimeout limits a read of the table, jobPeerTimeout a call to other runners.
	jobTableTimeout = 800 * time.Millisecond
	jobPeerTimeout  = 800 * time.Millisecond
	// maxQueriedPeers is the number of other runners that are called when the table does not respond.
	maxQueriedPeers = 3
)

// methodJobs makes a batch process read the rows of jobs. It takes a jobsRequest and returns a jobsResponse.
const methodJobs = "batch.jobs"

type jobsRequest struct {
	IDs []string `cbor:"1,keyasint"`
}

type jobsResponse struct {
	// Read means that the rows were read.
	Read bool `cbor:"1,keyasint"`
	// Cancelled holds the IDs of the cancelled jobs among those requested.
	Cancelled []string `cbor:"2,keyasint,omitempty"`
}

// jobCheckLoop periodically checks whether jobs with held chunks were cancelled.
func (r *Runner) jobCheckLoop(ctx context.Context) error {
	for {
		r.confirmJobs(ctx)
		if !waitInterval(ctx, jobCheckInterval, nil) {
			return nil
		}
	}
}

// confirmJobs checks whether the held jobs were cancelled. Items may be dispatched only for MaxConfirmationAge
// after the start of the last successful check, so that a process that was paused or is partitioned stops by itself.
func (r *Runner) confirmJobs(ctx context.Context) {
	requestedAt := time.Now()
	chunks, ids := r.heldJobs()
	if !r.readJobs(ctx, ids) && !r.confirmWithPeers(ctx, ids) {
		r.metrics.jobsUnconfirmed.Inc()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A chunk that was claimed during the check is not in chunks and stays as it is.
	for _, h := range chunks {
		h.confirmedAt = requestedAt
	}
	signal(r.wakeDemand)
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
		r.updateJob(record)
	}
	return true
}

// confirmWithPeers asks other runners to read the jobs. It also succeeds when they cannot read them
// either: while the table is down for all, no cancellation can be accepted and held work may continue. A
// runner that reaches neither the table nor any of its peers is partitioned: a cancellation may have been
// accepted that it cannot see. A runner that knows no peers assumes that the table is down for all.
func (r *Runner) confirmWithPeers(ctx context.Context, ids []string) bool {
	peers := r.config.Peers()
	if len(peers) == 0 {
		return true
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxQueriedPeers)]
	responses := r.queryPeers(ctx, peers, ids)
	for _, response := range responses {
		for _, id := range response.Cancelled {
			r.stopJob(id)
		}
	}
	return len(responses) > 0
}

func (r *Runner) queryPeers(ctx context.Context, peers []netip.AddrPort, ids []string) []jobsResponse {
	ctx, cancel := context.WithTimeout(ctx, jobPeerTimeout)
	defer cancel()
	responses := make([]jobsResponse, len(peers))
	failed := make([]bool, len(peers))
	var group errgroup.Group
	for i, p := range peers {
		group.Go(func() error {
			failed[i] = r.config.Caller.Call(ctx, p, methodJobs, jobsRequest{IDs: ids}, &responses[i]) != nil
			return nil
		})
	}
	_ = group.Wait()
	var received []jobsResponse
	for i := range responses {
		if !failed[i] {
			received = append(received, responses[i])
		}
	}
	return received
}

// handleJobs serves methodJobs.
func (r *Runner) handleJobs(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request jobsRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	// The response must arrive before the caller's timeout.
	ctx, cancel := context.WithTimeout(ctx, jobPeerTimeout/2)
	defer cancel()
	records, err := r.config.Store.Jobs(ctx, request.IDs)
	response := jobsResponse{Read: err == nil}
	for _, record := range records {
		if record.Job.IsCancelled() {
			response.Cancelled = append(response.Cancelled, record.Job.ID)
		}
	}
	return response, nil
}

// heldJobs returns the held chunks and the distinct IDs of their jobs.
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

// updateJob applies a job's current row to its held chunks. The caller holds the lock.
func (r *Runner) updateJob(record *jobstore.Record) {
	for _, h := range r.held {
		if h.record.Job.ID != record.Job.ID || h.record.Job.IsCancelled() {
			continue
		}
		h.record = record
		if record.Job.IsCancelled() {
			h.stop(errJobCancelled)
			signal(r.wakeCommit)
		}
	}
}

// stopJob cancels the running items of a job and stops dispatching, without reading the table.
func (r *Runner) stopJob(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.record.Job.ID == id {
			h.stop(errJobCancelled)
		}
	}
}

// refreshJob reads the row of a job that is known to have changed. A job that does not exist is no error.
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
	r.updateJob(record)
	return nil
}

// handleCancelled serves jobstore.MethodCancelled.
func (r *Runner) handleCancelled(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var notice jobstore.Cancelled
	if err := decode(&notice); err != nil {
		return nil, err
	}
	r.stopJob(notice.Job)
	return struct{}{}, r.refreshJob(ctx, notice.Job)
}
