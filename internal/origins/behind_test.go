package origins_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/origin"
)

// Clients resumed streams at another version than the one that began them, at a VM that had not heard of the newer version.
func TestVMThatHasMissedAVersionResumesNoStreamAtAnotherOne(t *testing.T) {
	for _, test := range []struct {
		name, attempt string
		lost          bool
	}{
		{"the client names no attempt", "", false},
		{"the VMs that know the attempt do not answer", "attempt", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := memory.New()
			shared := func(int) platform.Rows { return store }
			earlier := startAt(t, shared, 1, "v1")
			eventually(t, func() bool { return rows(t, store, "versions/", "versions0") == 1 })
			stopAll(t, earlier)
			vms := startAt(t, shared, 2, "v1")
			behind := vms[1]
			eventually(t, func() bool {
				_, err := behind.Resolve(t.Context(), "", service, true)
				return err == nil
			})
			vms[0].SetTargets(registry("v1", "v2"))
			// No stream begins at a version before it is recorded.
			eventually(t, func() bool { return recordedVersions(t, store) == 2 })
			if test.lost {
				qt.Assert(t, vms[0].node.Close(), qt.IsNil)
			}
			vms[0].Record("attempt", origin.Origin{Service: service, Version: "v2"}, false)
			got, err := behind.Resolve(t.Context(), test.attempt, service, true)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("the stream that began at v2 goes on at %v", got))
		})
	}
}
