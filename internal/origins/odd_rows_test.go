package origins_test

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

// Guards against VMs that read the record of versions again and again and record no further version, because one that they cannot
// read is in its place.
func TestRecordThatCannotBeReadIsReplaced(t *testing.T) {
	future, err := cbor.Marshal(origin.Record{Versions: []origin.Served{{Version: "v0", GoneAt: math.MaxInt64}}})
	qt.Assert(t, err, qt.IsNil)
	for name, value := range map[string][]byte{"no CBOR": {0xff}, "nested": append(bytes.Repeat([]byte{0x81}, 40_000), 0), "gone in the future": future} {
		t.Run(name, func(t *testing.T) {
			state := memory.New()
			_, err := state.Apply(context.Background(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: platform.RowKey{Table: "rosemarydyke-origins", Key: "versions/" + service}, Value: value}}})
			qt.Assert(t, err, qt.IsNil)
			vms := startAt(t, func(int) platform.Rows { return state }, 2, "v1")
			eventually(t, func() bool { return len(live(t, state)) == 1 })
			// It may have held any version.
			_, err = vms[0].Resolve(t.Context(), "", service, true)
			qt.Assert(t, err, qt.IsNotNil)
			for _, vm := range vms {
				vm.SetTargets(registry("v1", "v2"))
			}
			eventually(t, func() bool { return len(live(t, state)) == 2 })
		})
	}
}

// live returns the versions that the record has as serving.
func live(t *testing.T, state platform.Rows) []string {
	page, err := state.Read(t.Context(), "rosemarydyke-origins", "", platform.KeyRange{From: "versions/", To: "versions0"})
	qt.Assert(t, err, qt.IsNil)
	var r origin.Record
	if len(page.Rows) != 1 || cbor.Unmarshal(page.Rows[0].Value, &r) != nil {
		return nil
	}
	return r.Live()
}

// Guards against origins that are not found because of another row of their shard.
func TestOriginBesideARowThatCannotBeReadIsFound(t *testing.T) {
	state := memory.New()
	vms := startAt(t, func(int) platform.Rows { return state }, 1, "v1", "v2")
	eventually(t, func() bool { return recordedVersions(t, state) == 2 })
	vms[0].Record("attempt", origin.Origin{Service: service, Version: "v2"}, false)
	eventually(t, func() bool { return rows(t, state, "stream/", "stream0") == 1 })
	page, err := state.Read(t.Context(), "rosemarydyke-origins", "", platform.KeyRange{From: "stream/", To: "stream0"})
	qt.Assert(t, err, qt.IsNil)
	key := page.Rows[0].RowKey
	for _, suffix := range []string{"!", "~"} {
		key.Key = page.Rows[0].Key[:len("stream/00/")] + suffix
		_, err = state.Apply(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: []byte{0xff}}}})
		qt.Assert(t, err, qt.IsNil)
	}
	stopAll(t, vms)
	after := startAt(t, func(int) platform.Rows { return state }, 1, "v1", "v2")
	time.Sleep(50 * time.Millisecond)
	got, err := after[0].Resolve(t.Context(), "attempt", service, true)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Version, qt.Equals, "v2")
}
