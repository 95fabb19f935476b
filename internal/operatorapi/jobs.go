package operatorapi

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// StoredJobs implements Jobs on the job store.
type StoredJobs struct {
	// Store reads and cancels jobs.
	Store *jobstore.Store
	// Caller notifies batch processes of a cancelled job.
	Caller peer.Caller
	// Members returns the VMs to notify.
	Members func(ctx context.Context) []member.Member
}

var _ Jobs = StoredJobs{}

// List implements Jobs.
func (j StoredJobs) List(ctx context.Context, client string, limit int) ([]Job, error) {
	records, err := j.Store.List(ctx, client, "", limit)
	if err != nil {
		return nil, translateNotFound(err)
	}
	jobs := make([]Job, 0, len(records))
	for _, record := range records {
		jobs = append(jobs, describeJob(record))
	}
	return jobs, nil
}

// Get implements Jobs.
func (j StoredJobs) Get(ctx context.Context, id string) (Job, error) {
	record, err := j.Store.GetAny(ctx, id)
	if err != nil {
		return Job{}, translateNotFound(err)
	}
	return describeJob(record), nil
}

// Cancel implements Jobs.
func (j StoredJobs) Cancel(ctx context.Context, id string) error {
	if _, err := j.Store.Cancel(ctx, id); err != nil {
		return translateNotFound(err)
	}
	jobstore.AnnounceCancel(ctx, j.Caller, j.Members(ctx), id)
	return nil
}

// Explain implements Jobs.
func (j StoredJobs) Explain(ctx context.Context, id string) (explain.Explanation, error) {
	record, err := j.Store.GetAny(ctx, id)
	if err != nil {
		return explain.Explanation{}, translateNotFound(err)
	}
	return explainRecord(record), nil
}

// ExplainItem implements Jobs.
func (j StoredJobs) ExplainItem(ctx context.Context, id, customID string) (explain.Explanation, error) {
	record, err := j.Store.GetAny(ctx, id)
	if err != nil {
		return explain.Explanation{}, translateNotFound(err)
	}
	item, err := j.Store.ItemResult(ctx, id, customID)
	if err != nil {
		return explain.Explanation{}, translateNotFound(err)
	}
	return explain.Explanation{
		Found:   true,
		Subject: "item " + customID + " of job " + id,
		Summary: summarizeItem(record, item),
		Client:  record.Job.Client,
	}, nil
}

func translateNotFound(err error) error {
	if errors.Is(err, jobstore.ErrNotFound) {
		return platform.ErrNotFound
	}
	return err
}

func describeJob(record *jobstore.Record) Job {
	return Job{
		ID:        record.Job.ID,
		Client:    record.Job.Client,
		Status:    string(record.Status()),
		Total:     record.Job.Items,
		Completed: record.Progress.Completed,
		Failed:    record.Progress.Failed,
		CreatedAt: record.Job.CreatedAt,
	}
}

func explainRecord(record *jobstore.Record) explain.Explanation {
	j, p := &record.Job, &record.Progress
	e := explain.Explanation{
		Found:   true,
		Subject: "job " + j.ID,
		Summary: summarizeJob(record),
		Client:  j.Client,
		Events:  []explain.Event{{At: j.CreatedAt, Text: fmt.Sprintf("accepted with %d items in %d chunks, due at %s", j.Items, j.Chunks, j.DueAt().Format("2006-01-02 15:04:05Z07:00"))}},
	}
	if j.IsCancelled() {
		e.Events = append(e.Events, explain.Event{At: j.CancelledAt, Text: "cancelled; no new item is started"})
	}
	if !p.FinishedAt.IsZero() {
		e.Events = append(e.Events, explain.Event{At: p.FinishedAt, Text: "the last chunk was closed"})
	}
	return e
}

func summarizeJob(record *jobstore.Record) string {
	j, p := &record.Job, &record.Progress
	counts := fmt.Sprintf("%d of %d chunks are closed, with %d items completed and %d failed", p.ChunksClosed, j.Chunks, p.Completed, p.Failed)
	switch record.Status() {
	case job.StatusCompleted:
		return fmt.Sprintf("all %d items have a result: %d completed, %d failed", j.Items, p.Completed, p.Failed)
	case job.StatusCancelled:
		return "cancelled; " + counts
	case job.StatusCancelling:
		return "being cancelled; " + counts
	default:
		return "in progress; " + counts
	}
}

func summarizeItem(record *jobstore.Record, item *jobstore.ItemStatus) string {
	place := fmt.Sprintf("line %d, in chunk %d", item.Line, item.Chunk.Number)
	switch {
	case item.Result != nil && item.Result.IsCompleted():
		return place + ": completed; the result is in the output file"
	case item.Result != nil:
		return fmt.Sprintf("%s: failed (%s, %s): %s", place, item.Result.Error.Code, item.Result.Error.Verdict, item.Result.Error.Message)
	case item.Closed && record.Job.IsCancelled():
		return place + ": not run, because the job was cancelled"
	case item.Chunk.Holder == "":
		return place + ": waiting for a VM to take the chunk"
	default:
		return fmt.Sprintf("%s: held by %s (epoch %d), without a committed result yet", place, item.Chunk.Holder, item.Chunk.Epoch)
	}
}
