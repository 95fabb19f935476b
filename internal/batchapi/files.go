package batchapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	purposeBatch       = "batch"
	purposeBatchOutput = "batch_output"
	// maxFieldBytes bounds a form field that is not the file.
	maxFieldBytes = 1 << 10
	// formOverheadBytes is what a multipart form may add to the file.
	formOverheadBytes = 64 << 10
)

// Ids of result files are made from the job's id and need no rows of their own.
const (
	answersIDPrefix = "file-output-"
	errorsIDPrefix  = "file-errors-"
)

type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileBody(f *jobstore.File) fileBody {
	return fileBody{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(),
		Filename: f.Name, Purpose: f.Purpose, Status: "processed",
	}
}

func (a *api) createFile(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	r.Body = http.MaxBytesReader(w, r.Body, a.config.MaxFileBytes+formOverheadBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return invalid("the body must be multipart/form-data with the fields purpose and file")
	}
	var file *jobstore.File
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return uploadError(err)
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return uploadError(err)
			}
			purpose = string(text)
		case "file":
			if file != nil {
				return invalid("the form has more than one file")
			}
			// The parts of a form come in any order, so the purpose is checked at the end.
			file, err = a.store.CreateFile(r.Context(), client.Name, part.FileName(), purposeBatch, part, a.config.MaxFileBytes)
			if err != nil {
				return uploadError(err)
			}
		}
	}
	switch {
	case file == nil:
		return invalid("the form has no field named file")
	case purpose != purposeBatch:
		return invalid("purpose must be \"batch\"")
	}
	return writeDone(w, newFileBody(file))
}

func uploadError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return jobstore.ErrTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("the upload ended early")
	default:
		return err
	}
}

// resultFile returns the job and the output that the id of a result file names.
func resultFile(id string) (job string, output jobstore.Output, ok bool) {
	if job, ok = strings.CutPrefix(id, answersIDPrefix); ok {
		return job, jobstore.Responses, true
	}
	job, ok = strings.CutPrefix(id, errorsIDPrefix)
	return job, jobstore.Errors, ok
}

func (a *api) getFile(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	id := r.PathValue("id")
	job, output, ok := resultFile(id)
	if !ok {
		file, err := a.store.File(r.Context(), client.Name, id)
		if err != nil {
			return err
		}
		return writeDone(w, newFileBody(file))
	}
	record, err := a.finishedJob(r, client, job)
	if err != nil {
		return err
	}
	return writeDone(w, fileBody{
		ID: id, Object: "file", Bytes: resultBytes(record, output), CreatedAt: record.Progress.FinishedAt.Unix(),
		Filename: id + ".jsonl", Purpose: purposeBatchOutput, Status: "processed",
	})
}

func (a *api) finishedJob(r *http.Request, client *settings.Client, id string) (*jobstore.Record, error) {
	record, err := a.store.Get(r.Context(), client.Name, id)
	if err != nil {
		return nil, err
	}
	if record.Progress.FinishedAt.IsZero() {
		return nil, jobstore.ErrNotFound
	}
	return record, nil
}

func resultBytes(record *jobstore.Record, output jobstore.Output) int64 {
	if output == jobstore.Responses {
		return record.Progress.OutputBytes
	}
	return record.Progress.ErrorBytes
}

func (a *api) getContent(w http.ResponseWriter, r *http.Request, client *settings.Client) error {
	id := r.PathValue("id")
	job, output, ok := resultFile(id)
	if !ok {
		return a.getUpload(w, r, client, id)
	}
	record, err := a.finishedJob(r, client, job)
	if err != nil {
		return err
	}
	startContent(w, resultBytes(record, output))
	if err := a.store.WriteResults(r.Context(), w, job, output); err != nil {
		a.abort(r, err)
	}
	return nil
}

func (a *api) getUpload(w http.ResponseWriter, r *http.Request, client *settings.Client, id string) error {
	file, err := a.store.File(r.Context(), client.Name, id)
	if err != nil {
		return err
	}
	startContent(w, file.Bytes)
	if _, err := io.Copy(w, a.store.OpenFile(r.Context(), file.ID, 0, file.Bytes)); err != nil {
		a.abort(r, err)
	}
	return nil
}

// startContent announces the length, so that a client never takes a cut answer for a whole one.
func startContent(w http.ResponseWriter, length int64) {
	header := w.Header()
	header.Set("Content-Type", "application/jsonl")
	header.Set("Content-Length", strconv.FormatInt(length, 10))
	header.Set("Rosemarydyke-Verdict", verdict.Completed.String())
	w.WriteHeader(http.StatusOK)
}

func (a *api) abort(r *http.Request, err error) {
	a.config.Log.Warn().Err(err).Str("path", r.URL.Path).Msg("content was cut")
	panic(http.ErrAbortHandler)
}
