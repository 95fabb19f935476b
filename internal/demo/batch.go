package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rosemarydyke/rosemarydyke/internal/load"
)

const (
	// batchItems is the number of items of the job.
	batchItems = 2000
	// batchTimeout is the timeout of the job.
	batchTimeout = 5 * time.Minute
	// batchPollInterval is the time between polls of the job's state.
	batchPollInterval = 200 * time.Millisecond
	// loadRate is the online load during the job, in requests per second.
	loadRate = 20
	// loadSegment is the duration of one load run. The online load is a series of runs and can stop only between two.
	loadSegment = time.Second
	// maxResultBytes is the maximum length of a line of the results.
	maxResultBytes = 1 << 20
)

// killedProcesses are the daemons of VM 2.
var killedProcesses = []string{"entry-2", "batch-2", "operator-2"}

func customID(i int) string { return fmt.Sprintf("summary-%04d", i) }

// itemLine is one line of the input file.
type itemLine struct {
	CustomID string   `json:"custom_id"`
	Method   string   `json:"method"`
	URL      string   `json:"url"`
	Body     itemBody `json:"body"`
}

type itemBody struct {
	Model     string        `json:"model"`
	Messages  []itemMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type itemMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resultLine holds the fields of a result line that the demo checks.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		StatusCode int `json:"status_code"`
		Body       struct {
			Choices []struct {
				Message itemMessage `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

func (d *demo) batchJob(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	client := d.client(d.config.Entries[0])
	batch, err := submit(ctx, client)
	if err != nil {
		return err
	}
	d.subjects.Job = batch.ID
	d.subjects.Item = customID(batchItems / 2)
	d.print("job %s accepted, %d items\n", batch.ID, batchItems)
	stopLoad, loadReport := d.startLoad(ctx)
	batch, err = d.watchJob(ctx, client, batch.ID)
	stopLoad()
	online := <-loadReport
	if err != nil {
		return err
	}
	d.print("job %s: %d of %d completed, %d failed\n", batch.Status, batch.RequestCounts.Completed, batch.RequestCounts.Total, batch.RequestCounts.Failed)
	d.print("online meanwhile: %d sent, %d completed, %d refused, %d failed\n", online.Sent, online.Completed, online.Refused, online.Failed)
	if batch.Status != openai.BatchStatusCompleted || batch.ErrorFileID != "" {
		return fmt.Errorf("batch job has status %s and error file %q, want completed and no error file", batch.Status, batch.ErrorFileID)
	}
	if online.Sent == 0 || online.Completed != online.Sent {
		return errors.New("not all online requests completed")
	}
	return d.checkResults(ctx, batch.OutputFileID)
}

func submit(ctx context.Context, client openai.Client) (*openai.Batch, error) {
	input, err := batchInput()
	if err != nil {
		return nil, err
	}
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(bytes.NewReader(input), "summaries.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return nil, fmt.Errorf("upload: %w", err)
	}
	params := openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}
	return client.Batches.New(ctx, params, option.WithHeader("Idempotency-Key", file.ID))
}

func batchInput() ([]byte, error) {
	var input bytes.Buffer
	encoder := json.NewEncoder(&input)
	for i := range batchItems {
		line := itemLine{
			CustomID: customID(i),
			Method:   "POST",
			URL:      "/v1/chat/completions",
			Body: itemBody{
				Model:     modelDrafting,
				Messages:  []itemMessage{{Role: "user", Content: fmt.Sprintf("Write the repair summary of call %d.", i)}},
				MaxTokens: maxTokens,
			},
		}
		if err := encoder.Encode(line); err != nil {
			return nil, err
		}
	}
	return input.Bytes(), nil
}

// watchJob polls the job until it ends, and kills VM 2 once half of the items are completed.
func (d *demo) watchJob(ctx context.Context, client openai.Client, id string) (*openai.Batch, error) {
	killed := false
	for {
		batch, err := client.Batches.Get(ctx, id)
		if err != nil {
			return nil, fmt.Errorf("get the job's state: %w", err)
		}
		if !killed && batch.RequestCounts.Completed >= batchItems/2 {
			d.print("%d items done: killing VM 2\n", batch.RequestCounts.Completed)
			if err := d.killVM(); err != nil {
				return nil, err
			}
			killed = true
		}
		switch batch.Status {
		case openai.BatchStatusCompleted, openai.BatchStatusFailed, openai.BatchStatusCancelled, openai.BatchStatusExpired:
			if !killed {
				return nil, errors.New("job ended before VM 2 was killed")
			}
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("job did not end within %v: status %s, %d items completed", batchTimeout, batch.Status, batch.RequestCounts.Completed)
		case <-time.After(batchPollInterval):
		}
	}
}

func (d *demo) killVM() error {
	for _, name := range killedProcesses {
		text, err := os.ReadFile(filepath.Join(d.config.PIDs, name))
		if err != nil {
			return err
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return fmt.Errorf("process id of %s: %w", name, err)
		}
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			return fmt.Errorf("kill %s: %w", name, err)
		}
	}
	return nil
}

// startLoad sends online requests through the entries that are not killed, until stop is called. Then it sends the
// summed report on the channel.
func (d *demo) startLoad(ctx context.Context) (stop func(), report <-chan load.Report) {
	loadCtx, stop := context.WithCancel(ctx)
	result := make(chan load.Report, 1)
	config := load.Config{
		Entries:   []string{d.config.Entries[0], d.config.Entries[2]},
		APIKey:    d.config.APIKey,
		Model:     modelDrafting,
		Rate:      loadRate,
		Length:    loadSegment,
		MaxTokens: maxTokens,
	}
	go func() {
		var total load.Report
		for loadCtx.Err() == nil {
			config.Seed++
			segment := load.Run(ctx, config)
			total.Sent += segment.Sent
			total.Completed += segment.Completed
			total.Refused += segment.Refused
			total.Failed += segment.Failed
		}
		result <- total
	}()
	return stop, result
}

// checkResults downloads the results through another VM and checks that each custom_id occurs exactly once.
func (d *demo) checkResults(ctx context.Context, fileID string) error {
	client := d.client(d.config.Entries[len(d.config.Entries)-1])
	response, err := client.Files.Content(ctx, fileID)
	if err != nil {
		return fmt.Errorf("download: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	seen := map[string]int{}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxResultBytes)
	for lines.Scan() {
		var line resultLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("result line %d: %w", len(seen)+1, err)
		}
		if len(line.Response.Body.Choices) != 1 || line.Response.Body.Choices[0].Message.Content == "" {
			return fmt.Errorf("result of %s has no message content", line.CustomID)
		}
		seen[line.CustomID]++
	}
	if err := lines.Err(); err != nil {
		return err
	}
	for i := range batchItems {
		if n := seen[customID(i)]; n != 1 {
			return fmt.Errorf("%s occurs %d times in the results, want once", customID(i), n)
		}
	}
	if len(seen) != batchItems {
		return fmt.Errorf("results hold %d custom ids, want %d", len(seen), batchItems)
	}
	d.print("results downloaded: each of %d custom ids exactly once\n", len(seen))
	return nil
}
