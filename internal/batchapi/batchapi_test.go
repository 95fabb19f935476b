package batchapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/clientctx"
	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/faulty"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

type fixedSettings struct{ snapshot settings.Snapshot }

func (f *fixedSettings) Current() *settings.Snapshot { return &f.snapshot }
func (f *fixedSettings) Fresh() bool                 { return true }

type fixture struct {
	*qt.C
	table     *faulty.Table
	objects   platform.Objects
	store     *jobstore.Store
	handler   http.Handler
	cancelled []string
	log       bytes.Buffer
}

func newFixture(t *testing.T) *fixture { return newFixtureWithLimit(t, 1<<20) }

// newFixtureWithLimit sets the limit of uploaded files, in bytes.
func newFixtureWithLimit(t *testing.T, maxFileBytes int64) *fixture {
	p := memory.New()
	f := &fixture{C: qt.New(t), table: faulty.New(p), objects: p.Objects()}
	f.store = jobstore.New(f.table, p.Objects())
	f.handler = New(Config{
		PlatformTimeout: 100 * time.Millisecond,
		Table:           f.table, Objects: p.Objects(), MaxFileBytes: maxFileBytes, Log: zerolog.New(&f.log),
		Settings: &fixedSettings{settings.Snapshot{Models: map[string]*settings.Model{"m": {Name: "m"}}}},
		OnCancel: func(_ context.Context, id string) { f.cancelled = append(f.cancelled, id) },
	})
	return f
}

// send sends a request as a client and returns the response and its decoded body.
func (f *fixture) send(client, method, path, contentType, body string, header ...string) (*httptest.ResponseRecorder, map[string]any) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", contentType)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	if client != "" {
		request = request.WithContext(clientctx.With(request.Context(), &settings.Client{Name: client}))
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	var decoded map[string]any
	_ = json.Unmarshal(recorder.Body.Bytes(), &decoded)
	return recorder, decoded
}

func (f *fixture) upload(purpose, content string) (*httptest.ResponseRecorder, map[string]any) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	part, err := writer.CreateFormFile("file", "in.jsonl")
	f.Assert(err, qt.IsNil)
	_, _ = part.Write([]byte(content))
	f.Assert(writer.WriteField("purpose", purpose), qt.IsNil)
	f.Assert(writer.Close(), qt.IsNil)
	return f.send("a", "POST", "/v1/files", writer.FormDataContentType(), form.String())
}

func (f *fixture) create(client string, file any, header ...string) (*httptest.ResponseRecorder, map[string]any) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	return f.send(client, "POST", "/v1/batches", "application/json", body, header...)
}

func line(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[]}}`, id, model)
}

func TestInvalidInputLineIsReportedAndJobRejected(t *testing.T) {
	for _, test := range []struct {
		name, input, message string
		line                 float64
	}{
		{"not JSON", line("1", "m") + "\n{", "not a JSON object", 2},
		{"unknown field", `{"custom_id":"1","idempotant":false}`, "idempotant", 1},
		{"no custom_id", line("", "m"), "custom_id is missing", 1},
		{"duplicate custom_id", line("1", "m") + "\n\n" + line("1", "m"), "was used on line 1", 3},
		{"unknown model", line("1", "x"), `model "x" does not exist`, 1},
		{"other endpoint", strings.Replace(line("1", "m"), "chat/", "", 1), "must be the batch's endpoint", 1},
		{"other method", strings.Replace(line("1", "m"), "POST", "GET", 1), "must be POST", 1},
		{"stream", strings.Replace(line("1", "m"), `"messages"`, `"stream":true,"messages"`, 1), "stream is not possible", 1},
		{"two values on a line", line("1", "m") + line("2", "m"), "more than one JSON value", 1},
		{"no items", "\n\n", "no items", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			_, file := f.upload("batch", test.input)
			response, body := f.create("a", file["id"])
			f.Assert(response.Code, qt.Equals, http.StatusBadRequest)
			failure := body["error"].(map[string]any)
			f.Assert(failure["message"], qt.Contains, test.message)
			f.Assert(failure["line"], qt.Equals, test.line)
			f.Assert(failure["verdict"], qt.Equals, "not-run")
			_, list := f.send("a", "GET", "/v1/batches", "", "")
			f.Assert(list["data"], qt.HasLen, 0)
			work, err := f.store.OpenWork(context.Background(), "", 1)
			f.Assert(err, qt.IsNil)
			f.Assert(work, qt.HasLen, 0)
		})
	}
}

func TestRetriedCreateReturnsSameJob(t *testing.T) {
	f := newFixture(t)
	_, file := f.upload("batch", line("1", "m"))
	_, again := f.upload("batch", line("1", "m"))
	_, other := f.upload("batch", line("2", "m"))
	key := []string{"Idempotency-Key", "k"}
	_, first := f.create("a", file["id"], key...)
	f.Assert(first["status"], qt.Equals, "in_progress")
	for _, test := range []struct {
		name string
		file any
		same bool
	}{{"same request", file["id"], true}, {"same content uploaded again", again["id"], true}, {"other content", other["id"], false}} {
		response, body := f.create("a", test.file, key...)
		if test.same {
			f.Assert(body["id"], qt.Equals, first["id"], qt.Commentf(test.name))
			continue
		}
		f.Assert(response.Code, qt.Equals, http.StatusUnprocessableEntity)
		f.Assert(body["error"].(map[string]any)["code"], qt.Equals, "idempotency_key_reused")
	}
	_, withoutKey := f.create("a", other["id"])
	_, resent := f.create("a", other["id"])
	f.Assert(resent["id"], qt.Equals, withoutKey["id"])
	f.Assert(withoutKey["id"], qt.Not(qt.Equals), first["id"])
}

func TestLostTableResponseCausesNoDuplicateOrRejectedJob(t *testing.T) {
	for _, fault := range []faulty.Fault{faulty.ResponseLost, faulty.RequestLost, faulty.Delayed, faulty.Unavailable} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			_, file := f.upload("batch", line("1", "m"))
			f.table.Inject(fault)
			response, first := f.create("a", file["id"])
			f.Assert(response.Code, qt.Equals, http.StatusOK)
			f.table.Flush(context.Background())
			_, again := f.create("a", file["id"])
			f.Assert(again["id"], qt.Equals, first["id"])
			_, list := f.send("a", "GET", "/v1/batches", "", "")
			f.Assert(list["data"], qt.HasLen, 1)
		})
	}
}

func TestClientsAreIsolated(t *testing.T) {
	f := newFixture(t)
	_, file := f.upload("batch", line("1", "m"))
	_, batch := f.create("a", file["id"])
	for _, path := range []string{
		"/v1/files/" + file["id"].(string), "/v1/files/" + file["id"].(string) + "/content", "/v1/batches/" + batch["id"].(string),
	} {
		response, _ := f.send("b", "GET", path, "", "")
		f.Assert(response.Code, qt.Equals, http.StatusNotFound, qt.Commentf(path))
		response, _ = f.send("", "GET", path, "", "")
		f.Assert(response.Code, qt.Equals, http.StatusUnauthorized)
	}
	response, _ := f.create("b", file["id"])
	f.Assert(response.Code, qt.Equals, http.StatusNotFound)
	response, _ = f.send("b", "POST", "/v1/batches/"+batch["id"].(string)+"/cancel", "", "")
	f.Assert(response.Code, qt.Equals, http.StatusNotFound)
}

func TestFileUploadAndDownload(t *testing.T) {
	f := newFixture(t)
	content := line("1", "m") + "\n"
	_, file := f.upload("batch", content)
	f.Assert(file["bytes"], qt.Equals, float64(len(content)))
	response, _ := f.send("a", "GET", "/v1/files/"+file["id"].(string)+"/content", "", "")
	f.Assert(response.Body.String(), qt.Equals, content)
	response, _ = f.upload("fine-tune", content)
	f.Assert(response.Code, qt.Equals, http.StatusBadRequest)
	response, body := f.upload("batch", strings.Repeat("x", 1<<20+1))
	f.Assert(response.Code, qt.Equals, http.StatusRequestEntityTooLarge)
	f.Assert(body["error"].(map[string]any)["code"], qt.Equals, "body_too_large")
	response, _ = f.send("a", "POST", "/v1/files", "application/json", "{}")
	f.Assert(response.Code, qt.Equals, http.StatusBadRequest)
}

func TestCancelNotifiesRunners(t *testing.T) {
	f := newFixture(t)
	_, file := f.upload("batch", line("1", "m"))
	_, batch := f.create("a", file["id"])
	id := batch["id"].(string)
	_, cancelled := f.send("a", "POST", "/v1/batches/"+id+"/cancel", "", "")
	f.Assert(cancelled["status"], qt.Equals, "cancelling")
	f.Assert(f.cancelled, qt.DeepEquals, []string{id})
}

func TestListIsPaginatedNewestFirst(t *testing.T) {
	f := newFixture(t)
	var ids []string
	for i := range 5 {
		_, file := f.upload("batch", line(fmt.Sprint(i), "m"))
		_, batch := f.create("a", file["id"])
		ids = append([]string{batch["id"].(string)}, ids...)
	}
	var seen []string
	after := ""
	for {
		_, list := f.send("a", "GET", "/v1/batches?limit=2&after="+after, "", "")
		for _, b := range list["data"].([]any) {
			seen = append(seen, b.(map[string]any)["id"].(string))
		}
		if list["has_more"] == false {
			break
		}
		after = list["last_id"].(string)
	}
	f.Assert(seen, qt.HasLen, len(ids))
	f.Assert(seen, qt.ContentEquals, ids)
}

func TestUnavailableTableIsReportedWithVerdictAndRetryAfter(t *testing.T) {
	f := newFixture(t)
	_, file := f.upload("batch", line("1", "m"))
	f.table.SetDown(true)
	response, body := f.create("a", file["id"])
	f.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(body["error"].(map[string]any)["verdict"], qt.Equals, "not-run")
	f.Assert(response.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	f.Assert(response.Header().Get("x-should-retry"), qt.Equals, "true")
	response, _ = f.upload("batch", line("1", "m"))
	f.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
}
