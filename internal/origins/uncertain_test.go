package origins_test

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

// A VM that was not certain of its only version resumed a stream there because another VM was, whose copy was outdated.
func TestVMThatIsNotCertainResumesNoStreamAtAnOutdatedVersionOfAnother(t *testing.T) {
	for name, test := range map[string]struct {
		added string
		want  bool
	}{
		"another version was recorded":  {added: "v2"},
		"no other version was recorded": {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := memory.New()
			earlier := startAt(t, func(int) platform.Rows { return state }, 1, "v1")
			eventually(t, func() bool { return recordedVersions(t, state) == 1 })
			stopAll(t, earlier)
			// The first read of the last VM finds no record, as before the first VM of a deployment has written one.
			stores := func(i int) platform.Rows {
				if i == 2 {
					return &firstEmptyRows{Rows: state}
				}
				return state
			}
			vms := startAt(t, stores, 3, "v1")
			eventually(t, func() bool {
				_, err := vms[1].Resolve(t.Context(), "", service, true)
				return err == nil
			})
			uncertain := vms[2]
			eventually(t, func() bool {
				_, err := uncertain.Resolve(t.Context(), "earlier", service, true)
				return err == nil
			})
			_, err := uncertain.Resolve(t.Context(), "", service, true)
			qt.Assert(t, err, qt.IsNotNil)
			if test.added != "" {
				vms[0].SetTargets(registry("v1", test.added))
				eventually(t, func() bool { return recordedVersions(t, state) == 2 })
			}
			qt.Assert(t, vms[0].node.Close(), qt.IsNil)
			vms[0].Record("attempt", origin.Origin{Service: service, Version: "v2"}, false)
			got, err := uncertain.Resolve(t.Context(), "attempt", service, true)
			qt.Assert(t, err == nil, qt.Equals, test.want, qt.Commentf("%v, %v", got, err))
		})
	}
}

// firstEmptyRows is a store whose first response has no rows.
type firstEmptyRows struct {
	platform.Rows
	answered atomic.Bool
}

func (r *firstEmptyRows) Read(ctx context.Context, table, part string, keys platform.KeyRange) (platform.Page, error) {
	page, err := r.Rows.Read(ctx, table, part, keys)
	if !r.answered.Swap(true) {
		page.Rows = nil
	}
	return page, err
}
