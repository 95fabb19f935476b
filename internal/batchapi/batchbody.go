package batchapi

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// batchBody is OpenAI's batch object.
type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           any               `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           job.Status        `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    countsBody        `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

type countsBody struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newBatchBody(r *jobstore.Record) batchBody {
	j, p := &r.Job, &r.Progress
	body := batchBody{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.InputFile,
		CompletionWindow: formatWindow(j.CompletionWindow),
		Status:           r.Status(),
		CreatedAt:        j.CreatedAt.Unix(),
		InProgressAt:     unixSeconds(j.CreatedAt),
		ExpiresAt:        j.DueAt().Unix(),
		CancellingAt:     unixSeconds(j.CancelledAt),
		RequestCounts:    countsBody{Total: j.Items, Completed: p.Completed, Failed: p.Failed},
		Metadata:         j.Metadata,
	}
	switch body.Status {
	case job.StatusCompleted:
		body.CompletedAt = unixSeconds(p.FinishedAt)
	case job.StatusCancelled:
		body.CancelledAt = unixSeconds(p.FinishedAt)
	default:
		return body
	}
	if p.OutputBytes > 0 {
		body.OutputFileID = pointer(outputIDPrefix + j.ID)
	}
	if p.ErrorBytes > 0 {
		body.ErrorFileID = pointer(errorsIDPrefix + j.ID)
	}
	return body
}

// formatWindow formats whole hours as clients send them, such as 24h.
func formatWindow(window time.Duration) string {
	text := window.String()
	if window%time.Hour == 0 {
		return text[:len(text)-len("0m0s")]
	}
	return text
}

func unixSeconds(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	return pointer(t.Unix())
}

func pointer[T any](value T) *T { return &value }
