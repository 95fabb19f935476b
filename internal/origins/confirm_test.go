package origins_test

import (
	"cmp"
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

// failingRows is a store that may stop to serve a VM.
type failingRows struct {
	platform.Rows
	fails atomic.Bool
}

func (r *failingRows) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	if r.fails.Load() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return r.Rows.Read(ctx, table, part, keys)
}

// A VM whose copy of the registry was outdated resumed streams at the only version that it knew, while others had begun them at the
// next one.
func TestVMThatMissedAVersionResumesNoStreamAtTheOneItKnows(t *testing.T) {
	for name, test := range map[string]struct {
		// added is a version that all VMs but the last one know.
		added string
		// fails lists the VMs that the store stops to serve, and lost the ones that are gone.
		fails, lost []int
		want        bool
	}{
		"another version was recorded":                                         {added: "v2"},
		"another version was recorded, and it can't read the store":            {added: "v2", fails: []int{2}},
		"another version was recorded, and it reaches neither store nor VMs":   {added: "v2", fails: []int{2}, lost: []int{0, 1}},
		"no other version was recorded":                                        {want: true},
		"no other version was recorded, and nobody can read the store":         {fails: []int{0, 1, 2}, want: true},
		"nobody can read the store, and one of the others does not answer":     {fails: []int{0, 1, 2}, lost: []int{0}},
		"it can't read the store, and no other VM knows of a version":          {fails: []int{2}, want: true},
		"one of the others does not answer, and no other version was recorded": {lost: []int{0}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := memory.New()
			stores := make([]*failingRows, 3)
			start := func(versions ...string) []vm {
				return startAt(t, func(i int) platform.Rows {
					stores[i] = &failingRows{Rows: state}
					return stores[i]
				}, 3, versions...)
			}
			earlier := start("v1")
			eventually(t, func() bool { return recordedVersions(t, state) == 1 })
			for _, v := range earlier {
				v.stop()
				qt.Assert(t, v.node.Close(), qt.IsNil)
			}
			vms := start("v1")
			outdated := vms[2]
			for _, v := range vms {
				eventually(t, func() bool {
					_, err := v.Resolve(t.Context(), "", service, true)
					return err == nil
				})
			}
			if test.added != "" {
				for _, v := range vms[:2] {
					v.SetTargets(registry("v1", test.added))
				}
				eventually(t, func() bool { return recordedVersions(t, state) == 2 })
			}
			for _, i := range test.fails {
				stores[i].fails.Store(true)
			}
			for _, i := range test.lost {
				qt.Assert(t, vms[i].node.Close(), qt.IsNil)
			}
			got, err := outdated.Resolve(t.Context(), "", service, true)
			qt.Check(t, err == nil, qt.Equals, test.want, qt.Commentf("%v, %v", got, err))
			began := origin.Origin{Service: service, Version: cmp.Or(test.added, "v1")}
			vms[0].Record("attempt", began, false)
			if got, err := outdated.Resolve(t.Context(), "attempt", service, true); err == nil {
				qt.Check(t, got, qt.Equals, began)
			}
		})
	}
}

// recordedVersions returns the number of versions in the record of the only service.
func recordedVersions(t *testing.T, store platform.Rows) int {
	page, err := store.Read(t.Context(), "rosemarydyke-origins", "", platform.KeyRange{From: "versions/", To: "versions0"})
	qt.Assert(t, err, qt.IsNil)
	var r origin.Record
	if len(page.Rows) == 1 {
		qt.Assert(t, cbor.Unmarshal(page.Rows[0].Value, &r), qt.IsNil)
	}
	return len(r.Versions)
}
