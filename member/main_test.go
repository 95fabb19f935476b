package member

import (
	"cmp"
	"flag"
	"os"
	"testing"
)

// Defaults of the fuzz runs, so that their verdict is the same each time.
const (
	fuzzSeed   = "1"
	fuzzChecks = "200"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":   cmp.Or(os.Getenv("ROSEMARYDYKE_FUZZ_SEED"), fuzzSeed),
		"rapid.checks": cmp.Or(os.Getenv("ROSEMARYDYKE_FUZZ_CHECKS"), fuzzChecks),
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
