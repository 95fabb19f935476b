package target

import (
	"cmp"
	"slices"
)

// demand is what one holder wants.
type demand struct {
	holder string
	want   int
}

// fairShares divides slots among holders by max-min fairness: no holder gets more than it wants, and
// none gets less than another that wants more. The remainder goes to the holders whose names sort first.
func fairShares(slots int, demands []demand) map[string]int {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.want, b.want), cmp.Compare(a.holder, b.holder))
	})
	shares := make(map[string]int, len(demands))
	for i, d := range demands {
		left := len(demands) - i
		equal := (slots + left - 1) / left
		share := max(0, min(d.want, equal))
		shares[d.holder] = share
		slots -= share
	}
	return shares
}
