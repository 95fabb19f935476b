package batchjobs

import (
	"bytes"
	"context"
	"maps"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Checkpoints of different lengths overwrite each other, as when owners do not know of each other. The oracle
// is the last checkpoint of each item.
func TestParseProgressReturnsLastCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]rowstore.TableRow{}
		last := map[int]itemProgress{}
		for version := range rapid.IntRange(1, 12).Draw(t, "checkpoints") {
			index := rapid.IntRange(0, 2).Draw(t, "item")
			events := rapid.IntRange(1, 500).Draw(t, "events")
			p := itemProgress{
				Position: int64(events - 1), Events: events,
				Text:     bytes.Repeat([]byte{'t'}, rapid.IntRange(0, 3*maxRowBytes).Draw(t, "bytes")),
				Failures: rapid.IntRange(0, 2).Draw(t, "failures"),
			}
			writes, err := progressWrites("j", index, p)
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range writes {
				store[w.Key] = rowstore.TableRow{RowKey: w.RowKey, Value: w.Value, Version: uint64(version)}
			}
			last[index] = p
		}
		var rows []rowstore.TableRow
		for _, key := range sortedKeys(store) {
			rows = append(rows, store[key])
		}
		progress, counts, err := parseProgress("j", rows)
		total := 0
		for _, n := range counts {
			total += n
		}
		if err != nil || total != len(store) || !reflect.DeepEqual(progress, last) {
			t.Fatalf("%d of %d rows read: %v", total, len(store), err)
		}
	})
}

// The store was read in pages while a former owner still wrote: the rows of two checkpoints were joined to one text.
func TestProgressReadInPagesJoinsNoCheckpoints(t *testing.T) {
	whole := make([]byte, 3*maxRowBytes)
	for i := range whole {
		whole[i] = byte('a' + i%23)
	}
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]rowstore.TableRow{}
		var written []itemProgress
		write := func() {
			n := rapid.IntRange(maxRowBytes, len(whole)).Draw(t, "bytes")
			p := itemProgress{Position: int64(n/100) - 1, Events: n / 100, Text: whole[:n], Version: "v1"}
			writes, err := progressWrites("j", 0, p)
			if err != nil {
				t.Fatal(err)
			}
			written = append(written, p)
			for _, w := range writes {
				store[w.Key] = rowstore.TableRow{RowKey: w.RowKey, Value: w.Value, Version: uint64(len(written))}
			}
		}
		write()
		var rows []rowstore.TableRow
		for last := ""; ; {
			keys := sortedKeys(store)
			next := slices.IndexFunc(keys, func(key string) bool { return key > last })
			if next < 0 {
				break
			}
			last = keys[next]
			rows = append(rows, store[last])
			if rapid.Bool().Draw(t, "written between two pages") {
				write()
			}
		}
		progress, counts, _ := parseProgress("j", rows)
		if counts[0] != len(rows) {
			t.Fatalf("%d rows counted of %d", counts[0], len(rows))
		}
		p, ok := progress[0]
		if ok && !slices.ContainsFunc(written, func(w itemProgress) bool {
			return w.Events == p.Events && w.Version == p.Version && bytes.Equal(w.Text, p.Text)
		}) {
			t.Fatalf("progress of %d events, %d bytes and version %q is none of the %d that were written", p.Events, len(p.Text), p.Version, len(written))
		}
	})
}

func sortedKeys(rows map[string]rowstore.TableRow) []string {
	keys := slices.Collect(maps.Keys(rows))
	slices.Sort(keys)
	return keys
}

func TestParseProgressOmitsUnreadableItems(t *testing.T) {
	writes, err := progressWrites("j", 2, itemProgress{Position: 4, Events: 5, Text: []byte("text")})
	qt.Assert(t, err, qt.IsNil)
	rows := []rowstore.TableRow{
		{RowKey: rowstore.RowKey{Key: "j/000/000"}, Value: []byte("\xa1\x01")},
		{RowKey: rowstore.RowKey{Key: "j/001/000"}},
		{RowKey: writes[0].RowKey, Value: writes[0].Value},
		{RowKey: rowstore.RowKey{Key: "j/first/000"}, Value: []byte("x")},
	}
	progress, _, err := parseProgress("j", rows)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*"j/first/000" names no item.*`)
	qt.Assert(t, progress, qt.HasLen, 1)
	qt.Assert(t, progress[2].Events, qt.Equals, 5)
}

func FuzzParseProgress(f *testing.F) {
	f.Add("j/000/000", []byte("\xa4\x01\x04\x02\x05\x03\x41x\x04\x01"))
	f.Add("j/", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		progress, _, err := parseProgress("j", []rowstore.TableRow{{RowKey: rowstore.RowKey{Key: key}, Value: value}})
		if err == nil && len(progress) != 1 {
			t.Fatalf("%d items from one row without an error", len(progress))
		}
	})
}

// recordingRows records the transactions that are applied.
type recordingRows struct {
	rowstore.Rows
	applied []rowstore.RowTxn
}

func (r *recordingRows) Apply(_ context.Context, txn rowstore.RowTxn) (uint64, error) {
	r.applied = append(r.applied, txn)
	return uint64(len(r.applied)), nil
}

func TestCheckpointFitsMessageLimit(t *testing.T) {
	const items, size = 40, 15_000
	rows := &recordingRows{}
	run := &jobRun{job: "j", running: map[int]*itemState{}, saved: map[int]savedItem{}}
	for i := range items {
		run.running[i] = &itemState{itemProgress: itemProgress{Events: 1, Text: make([]byte, size)}}
	}
	s := &Service{config: Config{Rows: rows, Log: zerolog.Nop()}, runs: map[string]*jobRun{"j": run}}
	for range items * size / maxCheckpointBytes * 2 {
		s.checkpoint(t.Context())
	}
	saved := 0
	for _, txn := range rows.applied {
		bytes := 0
		for _, write := range txn.Writes {
			bytes += len(write.Value)
		}
		saved += len(txn.Writes)
		// Messages between VMs are limited to 300 kB.
		qt.Check(t, bytes < 300_000*3/4, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	}
	qt.Check(t, saved, qt.Equals, items)
	qt.Check(t, run.unsaved(), qt.HasLen, 0)
}

func TestOversizedItemIsLoggedOnceAndSkipped(t *testing.T) {
	rows := &recordingRows{}
	short := &itemState{itemProgress: itemProgress{Events: 1, Text: []byte("text")}}
	long := &itemState{itemProgress: itemProgress{Events: 1, Text: make([]byte, maxCheckpointBytes+1)}}
	run := &jobRun{job: "j", running: map[int]*itemState{0: short, 1: long}, saved: map[int]savedItem{}}
	var log bytes.Buffer
	s := &Service{config: Config{Rows: rows, Log: zerolog.New(&log)}, runs: map[string]*jobRun{"j": run}}
	for range 3 {
		s.checkpoint(t.Context())
		short.addEvent(1, []byte("more"), "v1")
		long.addEvent(1, []byte("more"), "v1")
	}
	qt.Assert(t, rows.applied, qt.HasLen, 3)
	for _, txn := range rows.applied {
		qt.Assert(t, txn.Writes, qt.HasLen, 1)
	}
	qt.Assert(t, bytes.Count(log.Bytes(), []byte("too long to be saved")), qt.Equals, 1)
}

func TestMergeHandedOverAndSavedProgress(t *testing.T) {
	ended := itemProgress{Position: -1, Text: []byte("whole"), Ended: true}
	short := itemProgress{Position: 1, Events: 2, Text: []byte("a\nb"), Failures: 1}
	long := itemProgress{Position: 2, Events: 3, Text: []byte("a\nb\nc")}
	for _, test := range []struct {
		name                        string
		handedOver, saved, expected itemProgress
	}{
		{"an ended item stays ended", ended, long, ended},
		{"the longer text and the larger number of failures are kept", short, long, itemProgress{Position: 2, Events: 3, Text: long.Text, Failures: 1}},
		{"longer progress that was handed over is kept", long, itemProgress{Position: 1, Events: 2, Text: short.Text}, long},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.handedOver.merge(test.saved), qt.DeepEquals, test.expected)
		})
	}
}
