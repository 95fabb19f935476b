package member

import (
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// fuzzChecks is the number of schedules of faults that one run tries.
const fuzzChecks = 200

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }
