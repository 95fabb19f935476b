package configcheck_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/configcheck"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

func TestCheckLimits(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits routing.Limits
		want   []configcheck.Field
	}{
		{"no limits", routing.Limits{}, nil},
		{"limits of the users", routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, nil},
		{"bodies too large for the VM", routing.Limits{BodyBytes: 64 << 20}, []configcheck.Field{configcheck.BodyBytes}},
		{"negative limits", routing.Limits{HeaderBytes: -1, IdleTimeout: -1}, []configcheck.Field{configcheck.HeaderBytes, configcheck.IdleTimeout}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var fields []configcheck.Field
			for _, f := range configcheck.CheckLimits(&routing.Table{Limits: test.limits}, 256<<20) {
				qt.Check(t, f.Place.Section, qt.Equals, configcheck.Limits)
				fields = append(fields, f.Place.Field)
			}
			qt.Assert(t, fields, qt.DeepEquals, test.want)
		})
	}
}

func TestCheckLimitsOfSmallVMs(t *testing.T) {
	batch := &routing.Table{Routes: []*routing.Route{{Name: "b", Kind: routing.Batch}}}
	for _, test := range []struct {
		name     string
		table    *routing.Table
		memory   int64
		findings int
	}{
		{"room for the largest response and text", batch, 128 << 20, 0},
		{"no room for the largest response", &routing.Table{}, 96 << 20, 1},
		{"no room for the largest text either", batch, 64 << 20, 2},
		{"no texts", &routing.Table{}, 64 << 20, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, configcheck.CheckLimits(test.table, test.memory), qt.HasLen, test.findings)
		})
	}
}
