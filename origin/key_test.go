package origin_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/origin"
)

// A VM keeps up to 32,768 origins, under IDs that clients choose: those of 16 KB took 512 MB.
func TestLongAttemptsAreKeptUnderShortKeys(t *testing.T) {
	long := strings.Repeat("a", 16<<10)
	qt.Assert(t, origin.Key("9c41d07be2a35f68"), qt.Equals, "9c41d07be2a35f68")
	qt.Assert(t, origin.Key(long), qt.HasLen, 64)
	qt.Assert(t, origin.Key(long), qt.Not(qt.Equals), origin.Key(long+"a"))
}
