package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// pollInterval is the interval at which --wait polls a job.
const pollInterval = time.Second

type jobCommands struct {
	Submit  jobSubmit  `cmd:"" help:"Upload a JSONL file and create a job from it."`
	Status  jobStatus  `cmd:"" help:"Show one job, or list all jobs of the operator's teams."`
	Cancel  jobCancel  `cmd:"" help:"Cancel a job. Results of finished items stay readable."`
	Results jobResults `cmd:"" help:"Write a job's results as JSONL to standard output."`
}

// jobBody is a job as the operators' API returns it.
type jobBody struct {
	ID        string    `json:"id"`
	Client    string    `json:"client"`
	Status    string    `json:"status"`
	Total     int       `json:"total"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`
	CreatedAt time.Time `json:"created_at"`
}

func jobTable(jobs ...jobBody) table {
	t := table{header: []string{"id", "client", "status", "total", "completed", "failed", "created at"}}
	for _, j := range jobs {
		t.rows = append(t.rows, []string{
			j.ID, j.Client, j.Status, strconv.Itoa(j.Total), strconv.Itoa(j.Completed), strconv.Itoa(j.Failed),
			j.CreatedAt.Format(time.RFC3339),
		})
	}
	return t
}

// caller returns a client of the callers' API at the first entry.
func (s *session) caller() (openai.Client, error) {
	if len(s.entries) == 0 || s.apiKey == "" {
		return openai.Client{}, errors.New("set --entries and --api-key, or ENTRIES and API_KEY")
	}
	return openai.NewClient(option.WithBaseURL(s.entries[0]+"/v1"), option.WithAPIKey(s.apiKey)), nil
}

type jobSubmit struct {
	File           string `arg:"" type:"existingfile" help:"JSONL file with one request per line."`
	Endpoint       string `default:"/v1/chat/completions" help:"Endpoint of all requests."`
	IdempotencyKey string `help:"Key with which a retried submit returns the same job. Default: a new one."`
	Wait           bool   `help:"Wait until the job has ended."`
}

// Run submits the job.
func (c *jobSubmit) Run(s *session) error {
	client, err := s.caller()
	if err != nil {
		return err
	}
	file, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	ctx := context.Background()
	uploaded, err := client.Files.New(ctx, openai.FileNewParams{File: file, Purpose: openai.FilePurposeBatch})
	if err != nil {
		return withAPIMessage("upload", err)
	}
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      uploaded.ID,
		Endpoint:         openai.BatchNewParamsEndpoint(c.Endpoint),
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, option.WithHeader("Idempotency-Key", c.key()))
	if err != nil {
		return withAPIMessage("create the job", err)
	}
	for c.Wait && !hasEnded(batch.Status) {
		time.Sleep(pollInterval)
		if batch, err = client.Batches.Get(ctx, batch.ID); err != nil {
			return withAPIMessage("get the job", err)
		}
	}
	body := describeBatch(batch)
	return s.printer.print(body, jobTable(body))
}

// withAPIMessage replaces an error of the callers' API by the message and code of its response.
func withAPIMessage(step string, err error) error {
	var failure *openai.Error
	if errors.As(err, &failure) && failure.Message != "" {
		return fmt.Errorf("%s: %s (%s)", step, failure.Message, failure.Code)
	}
	return fmt.Errorf("%s: %w", step, err)
}

func (c *jobSubmit) key() string {
	if c.IdempotencyKey != "" {
		return c.IdempotencyKey
	}
	return ulid.Make().String()
}

func hasEnded(status openai.BatchStatus) bool {
	switch status {
	case openai.BatchStatusCompleted, openai.BatchStatusCancelled, openai.BatchStatusFailed, openai.BatchStatusExpired:
		return true
	default:
		return false
	}
}

func describeBatch(batch *openai.Batch) jobBody {
	return jobBody{
		ID:        batch.ID,
		Status:    string(batch.Status),
		Total:     int(batch.RequestCounts.Total),
		Completed: int(batch.RequestCounts.Completed),
		Failed:    int(batch.RequestCounts.Failed),
		CreatedAt: time.Unix(batch.CreatedAt, 0).UTC(),
	}
}

type jobStatus struct {
	ID     string `arg:"" optional:"" help:"Job id."`
	Client string `help:"List only this client's jobs."`
}

// Run shows jobs.
func (c *jobStatus) Run(s *session) error {
	if c.ID == "" {
		var jobs []jobBody
		if err := s.operator.get("/v1/jobs?client="+url.QueryEscape(c.Client), &jobs); err != nil {
			return err
		}
		return s.printer.print(jobs, jobTable(jobs...))
	}
	var job jobBody
	if err := s.operator.get("/v1/jobs/"+url.PathEscape(c.ID), &job); err != nil {
		return err
	}
	return s.printer.print(job, jobTable(job))
}

type jobCancel struct {
	ID string `arg:"" help:"Job id."`
}

// Run cancels the job.
func (c *jobCancel) Run(s *session) error {
	var job jobBody
	if err := s.operator.do(request{method: "POST", path: "/v1/jobs/" + url.PathEscape(c.ID) + "/cancel"}, &job); err != nil {
		return err
	}
	return s.printer.print(job, jobTable(job))
}

type jobResults struct {
	ID     string `arg:"" help:"Job id."`
	Errors bool   `help:"Write the failed items instead of the completed ones."`
}

// Run writes the results.
func (c *jobResults) Run(s *session) error {
	client, err := s.caller()
	if err != nil {
		return err
	}
	ctx := context.Background()
	batch, err := client.Batches.Get(ctx, c.ID)
	if err != nil {
		return err
	}
	file := batch.OutputFileID
	if c.Errors {
		file = batch.ErrorFileID
	}
	if file == "" {
		return fmt.Errorf("job %s has no such results; its status is %s", c.ID, batch.Status)
	}
	resp, err := client.Files.Content(ctx, file)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(s.printer.out, resp.Body)
	return err
}
