package batchapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	maxCreateBytes = 64 << 10
	defaultList    = 20
	maxList        = 100

	minWindow = time.Minute
	maxWindow = 7 * 24 * time.Hour
)

var endpoints = []string{"/v1/chat/completions", "/v1/completions"}

type createBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (b *createBody) check() (time.Duration, error) {
	switch {
	case b.InputFileID == "":
		return 0, invalid("input_file_id is missing")
	case !slices.Contains(endpoints, b.Endpoint):
		return 0, invalid("endpoint must be /v1/chat/completions or /v1/completions")
	}
	window, err := time.ParseDuration(b.CompletionWindow)
	if err != nil || window < minWindow || window > maxWindow {
		return 0, invalid("completion_window must be a duration from 1m to 168h, such as 24h")
	}
	return window, nil
}

// digest identifies the request by its input's content rather than its id, so that a client which
// resends upload and request together still finds the same job.
func (b *createBody) digest(file *jobstore.File) string {
	content, _ := json.Marshal(createBody{
		InputFileID: file.SHA256, Endpoint: b.Endpoint, CompletionWindow: b.CompletionWindow, Metadata: b.Metadata,
	})
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// idempotencyKey returns the client's key. Without one the uploaded file stands for it: a file is
// uploaded for one batch, and a client that resends a request without a key still finds that batch.
func idempotencyKey(r *http.Request, body *createBody) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return "key:" + key
	}
	return "file:" + body.InputFileID
}

func (a *api) createBatch(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	var body createBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBytes)).Decode(&body); err != nil {
		return invalid("the body is not a JSON object of a batch: " + err.Error())
	}
	window, err := body.check()
	if err != nil {
		return err
	}
	file, err := a.store.File(r.Context(), client.Name, body.InputFileID)
	if err != nil {
		return err
	}
	spec := jobstore.Spec{
		Client:           client.Name,
		Endpoint:         body.Endpoint,
		CompletionWindow: window,
		InputFile:        file.ID,
		Metadata:         body.Metadata,
		IdempotencyKey:   idempotencyKey(r, &body),
		RequestDigest:    body.digest(file),
	}
	record, err := a.findOrCreate(r, spec, file)
	if err != nil {
		return err
	}
	return writeDone(w, newBatchBody(record))
}

func (a *api) findOrCreate(r *http.Request, spec jobstore.Spec, file *jobstore.File) (*jobstore.Record, error) {
	ctx := r.Context()
	record, err := a.store.FindByIdempotencyKey(ctx, spec.Client, spec.IdempotencyKey, spec.RequestDigest)
	if !errors.Is(err, jobstore.ErrNotFound) {
		return record, err
	}
	if !a.config.Settings.Fresh() {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeStaleSettings, Message: "this entry has not confirmed its settings lately", RetryAfter: platformRetryAfter}
	}
	models := a.config.Settings.Current().Models
	rules := job.Rules{Endpoint: spec.Endpoint, HasModel: func(model string) bool { return models[model] != nil }}
	spec.Chunks, spec.Items, err = a.validate(ctx, file, rules)
	if err != nil {
		return nil, err
	}
	return a.store.Create(ctx, spec)
}

func (a *api) validate(ctx context.Context, file *jobstore.File, rules job.Rules) ([]*job.Chunk, int, error) {
	if err := a.validations.Acquire(ctx, 1); err != nil {
		return nil, 0, err
	}
	defer a.validations.Release(1)
	return job.Split(a.store.OpenFile(ctx, file.ID, 0, file.Bytes), rules)
}

func (a *api) getBatch(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	record, err := a.store.Get(r.Context(), client.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeDone(w, newBatchBody(record))
}

func (a *api) cancelBatch(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	record, err := a.store.Get(r.Context(), client.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	record, err = a.store.Cancel(r.Context(), record.Job.ID)
	if err != nil {
		return err
	}
	if record.Job.IsCancelled() {
		a.config.OnCancel(r.Context(), record.Job.ID)
	}
	return writeDone(w, newBatchBody(record))
}

type listBody struct {
	Object  string      `json:"object"`
	Data    []batchBody `json:"data"`
	FirstID string      `json:"first_id,omitempty"`
	LastID  string      `json:"last_id,omitempty"`
	HasMore bool        `json:"has_more"`
}

func (a *api) listBatches(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	limit := defaultList
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxList {
			return invalid("limit must be a number from 1 to 100")
		}
		limit = n
	}
	records, err := a.store.List(r.Context(), client.Name, r.URL.Query().Get("after"), limit+1)
	if err != nil {
		return err
	}
	list := listBody{Object: "list", Data: []batchBody{}, HasMore: len(records) > limit}
	for _, record := range records[:min(limit, len(records))] {
		list.Data = append(list.Data, newBatchBody(record))
	}
	if n := len(list.Data); n > 0 {
		list.FirstID = list.Data[0].ID
		list.LastID = list.Data[n-1].ID
	}
	return writeDone(w, list)
}
