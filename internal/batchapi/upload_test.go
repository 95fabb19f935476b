package batchapi

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// inputOf returns an input file of some items.
func inputOf(items int) string {
	var input strings.Builder
	for i := range items {
		input.WriteString(line(strconv.Itoa(i), "m"))
		input.WriteByte('\n')
	}
	return input.String()
}

// Input files of more than 4 MiB were refused as invalid JSON, or with status 500 (issue 14).
func TestBatchOfAnInputFileOfSeveralParts(t *testing.T) {
	f := newFixtureWithLimit(t, 16<<20)
	const items = 50_000
	input := inputOf(items)
	f.Assert(len(input) > 4<<20, qt.IsTrue)
	response, file := f.upload("batch", input)
	f.Assert(response.Code, qt.Equals, http.StatusOK)
	response, batch := f.create("a", file["id"])
	f.Assert(response.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", response.Body))
	f.Assert(batch["request_counts"].(map[string]any)["total"], qt.Equals, float64(items))
}

func TestIncompleteInputFileIsNamedAndNothingHasRun(t *testing.T) {
	f := newFixtureWithLimit(t, 16<<20)
	_, file := f.upload("batch", inputOf(60_000))
	id := file["id"].(string)
	f.Assert(f.objects.Delete(t.Context(), "batch-files/"+id+"/00001"), qt.IsNil)
	response, body := f.create("a", id)
	f.Assert(response.Code, qt.Equals, http.StatusInternalServerError)
	failure := body["error"].(map[string]any)
	f.Assert(failure["verdict"], qt.Equals, "not-run")
	f.Assert(failure["message"], qt.Contains, "file \""+id+"\" is incomplete from byte 4194304 on")
	f.Assert(f.log.String(), qt.Contains, id)
}

// An upload that ended early was stored as a whole file, and the client got an error.
func TestUploadThatEndsEarlyStoresNoFile(t *testing.T) {
	f := newFixtureWithLimit(t, 16<<20)
	form := "--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\r\n" + inputOf(3)
	response, _ := f.send("a", "POST", "/v1/files", "multipart/form-data; boundary=b", form)
	f.Assert(response.Code, qt.Equals, http.StatusBadRequest)
	rows, err := f.table.Scan(t.Context(), "batch-file/", "", 100)
	f.Assert(err, qt.IsNil)
	f.Assert(rows, qt.HasLen, 0)
}
