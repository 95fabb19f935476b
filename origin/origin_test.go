package origin_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

var epoch = time.Unix(1_000_000, 0)

func TestLedger(t *testing.T) {
	v1, v2 := origin.Origin{Service: "llm", Version: "v1"}, origin.Origin{Service: "llm", Version: "v2"}
	t.Run("the first origin of a stream stays", func(t *testing.T) {
		l := origin.NewLedger()
		l.Put(epoch, "a", v1)
		l.Put(epoch, "a", v2)
		got, known := l.Get(epoch, "a")
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, got, qt.Equals, v1)
	})
	t.Run("an origin is kept for the retention", func(t *testing.T) {
		l := origin.NewLedger()
		l.Put(epoch, "a", v1)
		_, known := l.Get(epoch.Add(origin.Retention), "a")
		qt.Assert(t, known, qt.IsTrue)
		_, known = l.Get(epoch.Add(origin.Retention+1), "a")
		qt.Assert(t, known, qt.IsFalse)
	})
	t.Run("the oldest are forgotten beyond the bound", func(t *testing.T) {
		l := origin.NewLedger()
		for i := range origin.MaxOrigins + 1 {
			l.Put(epoch, fmt.Sprint(i), v1)
		}
		_, known := l.Get(epoch, "0")
		qt.Assert(t, known, qt.IsFalse)
		_, known = l.Get(epoch, "1")
		qt.Assert(t, known, qt.IsTrue)
	})
}

func TestSoleVersion(t *testing.T) {
	at := func(version string) routing.Target { return routing.Target{Service: "llm", Version: version} }
	for _, test := range []struct {
		name string
		// steps are the versions of the registered targets, read at intervals.
		steps         [][]string
		interval      time.Duration
		version       string
		sole, certain bool
	}{
		{"one version since a moment ago", [][]string{{"v1", "v1"}}, time.Second, "v1", true, false},
		{"one version for longer than streams last", [][]string{{"v1"}, {"v1"}}, origin.Retention, "v1", true, true},
		{"two versions", [][]string{{"v1"}, {"v1", "v2"}}, origin.Retention, "", false, false},
		{"a version that is gone since a moment ago", [][]string{{"v1", "v2"}, {"v2"}}, time.Second, "", false, false},
		{"a version that is gone for longer than streams last", [][]string{{"v1", "v2"}, {"v2"}, {"v2"}}, origin.Retention, "v2", true, true},
		{"no target", [][]string{{}}, time.Second, "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, now := origin.NewHistory(epoch), epoch
			for _, versions := range test.steps {
				targets := []routing.Target{{Service: "other", Version: "v9"}}
				for _, version := range versions {
					targets = append(targets, at(version))
				}
				h.SetTargets(now, targets)
				now = now.Add(test.interval)
			}
			version, sole, certain := h.Sole(now.Add(time.Millisecond), "llm")
			qt.Assert(t, sole, qt.Equals, test.sole)
			qt.Assert(t, certain, qt.Equals, test.certain)
			if sole {
				qt.Assert(t, version, qt.Equals, test.version)
			}
		})
	}
}

// Guards against a version that is forgotten while a stream that it began can still be resumed, and against one that is kept for ever.
func TestRecordOfVersions(t *testing.T) {
	const now = time.Hour
	served := func(versions ...origin.Served) origin.Record { return origin.Record{Versions: versions} }
	for _, test := range []struct {
		name             string
		record           origin.Record
		registered, gone []string
		want             origin.Record
		changed          bool
	}{
		{"the first version", served(), []string{"v1"}, nil, served(origin.Served{Version: "v1", AddedAt: now}), true},
		{"no news", served(origin.Served{Version: "v1", AddedAt: 1}), []string{"v1"}, nil, served(origin.Served{Version: "v1", AddedAt: 1}), false},
		{"a version that is gone stays for a while", served(origin.Served{Version: "v1", AddedAt: 1}), nil, []string{"v1"}, served(origin.Served{Version: "v1", AddedAt: 1, GoneAt: now}), true},
		{"one that is not seen is not gone", served(origin.Served{Version: "v1", AddedAt: 1}), nil, nil, served(origin.Served{Version: "v1", AddedAt: 1}), false},
		{"one that comes back is no longer gone", served(origin.Served{Version: "v1", AddedAt: 1, GoneAt: now - 1}), []string{"v1"}, nil, served(origin.Served{Version: "v1", AddedAt: 1}), true},
		{"one that is gone for longer than streams last", served(origin.Served{Version: "v1", AddedAt: 1, GoneAt: now - origin.Retention - 1}), nil, nil, served(), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, changed := test.record.Update(now, test.registered, test.gone)
			qt.Assert(t, changed, qt.Equals, test.changed)
			qt.Assert(t, len(got.Versions), qt.Equals, len(test.want.Versions))
			for i, v := range got.Versions {
				qt.Assert(t, v, qt.Equals, test.want.Versions[i])
			}
		})
	}
}
