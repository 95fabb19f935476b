package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemarydyke/rosemarydyke/member"
)

// sampleAddresses returns the client addresses of at most n members in random order. Members are drawn with a probability
// proportional to their processor share (Efraimidis and Spirakis 2006), because clients spread their requests evenly over
// the addresses that they get. random returns numbers in [0, 1).
func sampleAddresses(members []member.Member, n int, random func() float64) []string {
	type draw struct {
		address string
		key     float64
	}
	draws := make([]draw, len(members))
	for i, m := range members {
		weight := float64(m.ProcessorShare())
		draws[i] = draw{m.Callers, math.Log(1-random()) / weight}
	}
	slices.SortFunc(draws, func(a, b draw) int { return cmp.Compare(b.key, a.key) })
	addresses := make([]string, min(n, len(draws)))
	for i := range addresses {
		addresses[i] = draws[i].address
	}
	return addresses
}
