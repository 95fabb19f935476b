package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/member"
)

func TestAddressesAreSampledByProcessorShare(t *testing.T) {
	var members []member.Member
	for i := range 60 {
		members = append(members, member.Member{Callers: fmt.Sprintf("strong-%d", i), Millicores: 800})
	}
	for i := range 240 {
		members = append(members, member.Member{Callers: fmt.Sprintf("weak-%d", i), Millicores: 200})
	}
	random := rand.New(rand.NewPCG(1, 2))
	strong := 0
	for range 1000 {
		// Both kinds have the same processor time in all, so that they are drawn equally often.
		if strings.HasPrefix(sampleAddresses(members, 64, random.Float64)[0], "strong") {
			strong++
		}
	}
	qt.Assert(t, strong > 430 && strong < 570, qt.IsTrue, qt.Commentf("%d of 1000", strong))
	seen := map[string]bool{}
	for _, address := range sampleAddresses(members, 1000, random.Float64) {
		seen[address] = true
	}
	qt.Assert(t, seen, qt.HasLen, 300)
	qt.Assert(t, sampleAddresses(members, 64, random.Float64), qt.HasLen, 64)
}
