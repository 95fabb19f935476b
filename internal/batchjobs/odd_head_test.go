package batchjobs

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

func validHead() *Head {
	return &Head{Host: "h", Path: "/b/", Submitted: time.Second, Items: []ItemHead{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}}, BodyRows: 1, Owner: "vm", Epoch: 1, Results: []ResultHead{{Item: 1, Bytes: 3, TextRows: 1}}}
}

// Guards against processes that panic, use up their memory or are busy for minutes with the head of a job that no VM wrote.
func TestHeadThatNoVMWritesIsRejected(t *testing.T) {
	content, err := validHead().encode()
	qt.Assert(t, err, qt.IsNil)
	_, err = decodeHead(content)
	qt.Assert(t, err, qt.IsNil)
	for name, change := range map[string]func(*Head){
		"no items":                    func(h *Head) { h.Items = nil },
		"too many items":              func(h *Head) { h.Items = make([]ItemHead, 201) },
		"too many rows":               func(h *Head) { h.BodyRows = math.MaxInt64 },
		"less than no rows":           func(h *Head) { h.BodyRows = -1 },
		"a time that overflows":       func(h *Head) { h.Submitted = math.MinInt64 },
		"tokens that overflow":        func(h *Head) { h.Items[0].Tokens = math.MaxInt64 },
		"negative tokens":             func(h *Head) { h.Items[0].Tokens = -1 },
		"a result of no item":         func(h *Head) { h.Results[0].Item = 2 },
		"a result of a negative item": func(h *Head) { h.Results[0].Item = -1 },
		"two results of an item":      func(h *Head) { h.Results = append(h.Results, h.Results[0]) },
		"a text of too many rows":     func(h *Head) { h.Results[0].TextRows = math.MaxInt64 },
		"a text of negative length":   func(h *Head) { h.Results[0].Bytes = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := validHead()
			change(h)
			content, err := h.encode()
			qt.Assert(t, err, qt.IsNil)
			_, err = decodeHead(content)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// Guards against a row in another partition, or with a key that is no job's, that stands for a job or removes one.
func TestRowsOfOtherPartitionsAndKeysAreNoHeads(t *testing.T) {
	content, err := validHead().encode()
	qt.Assert(t, err, qt.IsNil)
	s := &Service{config: Config{Log: zerolog.Nop()}, heads: newHeadCache(), wake: make(chan struct{}, 1)}
	row := func(part, key string, version uint64, deleted bool) rowstore.TableRow {
		return rowstore.TableRow{RowKey: rowstore.RowKey{Table: tableHeads, Part: part, Key: key}, Value: content, Version: version, Deleted: deleted}
	}
	s.applyChanges([]rowstore.TableRow{row("", "j", 1, false), row("other", "k", 2, false), row("", "a/b", 3, false), row("other", "j", 4, true)})
	qt.Assert(t, s.heads.all(), qt.HasLen, 1)
	qt.Assert(t, s.heads.get("j"), qt.IsNotNil)
	// What follows an odd row is adopted.
	odd := row("", "j", 5, false)
	odd.Value = []byte{0xff}
	s.applyChanges([]rowstore.TableRow{odd, row("", "j", 6, false)})
	qt.Assert(t, s.heads.get("j").version, qt.Equals, uint64(6))
}

// Guards against jobs that are accepted and that no VM can read.
func TestHeadOfTheLargestSubmissionIsRead(t *testing.T) {
	body := []string{}
	for i := range platform.MaxJobItems {
		body = append(body, fmt.Sprintf(`{"id":"%0100d","path":"/b/","tokens":%d}`, i, int64(platform.MaxItemTokens)))
	}
	items, err := platform.ParseJob([]byte(`{"items":[` + strings.Join(body, ",") + `]}`))
	qt.Assert(t, err, qt.IsNil)
	h := &Head{BodyRows: maxContentRows}
	for _, item := range items {
		h.Items = append(h.Items, ItemHead{ID: item.ID, Tokens: item.Tokens})
	}
	content, err := h.encode()
	qt.Assert(t, err, qt.IsNil)
	h, err = decodeHead(content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.WaitingTokens() > 0, qt.IsTrue)
	_, err = platform.ParseJob([]byte(fmt.Sprintf(`{"items":[{"id":"a","path":"/b/","tokens":%d}]}`, int64(platform.MaxItemTokens)+1)))
	qt.Assert(t, err, qt.IsNotNil)
}

func FuzzDecodeHead(f *testing.F) {
	content, err := validHead().encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	odd, err := cbor.Marshal(map[int]any{4: []any{map[int]any{1: "a"}}, 5: uint64(math.MaxUint64), 9: []any{map[int]any{1: 7}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(odd)
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHead(value)
		if err != nil {
			return
		}
		if h.WaitingTokens() < 0 || len(h.Committed()) != len(h.Results) {
			t.Fatalf("inconsistent head %+v", h)
		}
		for _, r := range h.Results {
			_ = h.Items[r.Item]
		}
		if _, err := h.Clone().encode(); err != nil {
			t.Fatal(err)
		}
	})
}
