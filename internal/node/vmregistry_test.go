package node

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	store "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

// countingRows counts the reads and the rows that were read.
type countingRows struct {
	store.Rows
	reads, rows int
}

func (c *countingRows) Read(ctx context.Context, table, part string, keys store.KeyRange) (store.Page, error) {
	page, err := c.Rows.Read(ctx, table, part, keys)
	c.reads++
	c.rows += len(page.Rows)
	return page, err
}

// Each VM read the rows of all VMs every 5 s, so that the bytes read grew with the square of their number.
func TestListOfVMsCostsNoMoreInALargeFleet(t *testing.T) {
	for _, vms := range []int{1, 12, 31, 32, 33, 295, 1000} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			state := memory.New()
			registries := make([]*vmRegistry, vms)
			counters := make([]*countingRows, vms)
			for i := range registries {
				counters[i] = &countingRows{Rows: state}
				registries[i] = &vmRegistry{rows: counters[i], self: fmt.Sprintf("vm-%04d", i), peers: fmt.Sprintf("10.0.0.1:%d", i), zone: "z"}
				registries[i].register(t.Context(), zerolog.Nop())
			}
			listed := map[string]int{}
			for _, r := range registries {
				list, err := r.List(t.Context())
				qt.Assert(t, err, qt.IsNil)
				for _, vm := range list {
					listed[vm.Name]++
				}
			}
			// VMs that start together turn to different ones.
			for name, n := range listed {
				qt.Assert(t, n <= vmListRows, qt.IsTrue, qt.Commentf("%s is listed by %d VMs", name, n))
			}
			qt.Assert(t, listed, qt.HasLen, vms)
			// One VM sees all others after a while.
			self, counter := registries[vms/2], counters[vms/2]
			seen := map[string]bool{}
			*counter = countingRows{Rows: state}
			lists := vms/vmListRows + 3
			for range lists {
				list, err := self.List(t.Context())
				qt.Assert(t, err, qt.IsNil)
				for _, vm := range list {
					seen[vm.Name] = true
				}
			}
			qt.Assert(t, seen, qt.HasLen, vms)
			qt.Assert(t, counter.rows <= lists*vmListRows, qt.IsTrue, qt.Commentf("%d rows in %d lists", counter.rows, lists))
			qt.Assert(t, counter.reads <= lists+2, qt.IsTrue, qt.Commentf("%d reads for %d lists", counter.reads, lists))
		})
	}
}

// Guards against VMs that find no others because of one row that they cannot read.
func TestRowOfAVMThatCannotBeReadHidesNoOthers(t *testing.T) {
	state := memory.New()
	for name, value := range map[string][]byte{"vm-0": {0xff}, "vm-1": append(bytes.Repeat([]byte{0x81}, 40_000), 0), "vm-2": {0xa1, 0x01, 0x61, 'x'}, "vm-3": nil} {
		_, err := state.Apply(t.Context(), store.RowTxn{Writes: []store.RowWrite{{RowKey: store.RowKey{Table: tableVMs, Key: name}, Value: value}}})
		qt.Assert(t, err, qt.IsNil)
	}
	(&vmRegistry{rows: state, self: "vm-4", peers: "10.0.0.1:1", zone: "z"}).register(t.Context(), zerolog.Nop())
	list, err := (&vmRegistry{rows: state, self: "vm-5", log: zerolog.Nop()}).List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Name, qt.Equals, "vm-4")
}
