package reserve_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/reserve"
)

func TestHoldersShareARoom(t *testing.T) {
	room := reserve.NewRoom(1 << 20)
	large, second, small := room.Reserve(), room.Reserve(), room.Reserve()
	for bytes := 0; bytes <= 1<<20+reserve.FreeBytes; bytes += 1000 {
		qt.Assert(t, large.Cover(bytes), qt.IsTrue)
	}
	qt.Assert(t, large.Cover(1<<20+reserve.FreeBytes+1), qt.IsFalse)
	qt.Assert(t, second.Cover(reserve.FreeBytes+1), qt.IsFalse)
	qt.Assert(t, small.Cover(reserve.FreeBytes), qt.IsTrue)
	small.Release()
	large.Release()
	large.Release()
	qt.Assert(t, second.Cover(1<<20), qt.IsTrue)
	qt.Assert(t, large.Cover(1<<20), qt.IsFalse)
	second.Release()
	qt.Assert(t, large.Cover(1<<20), qt.IsTrue)
}
