package member

import (
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// fuzzChecks is the number of fault schedules that one run tries.
const fuzzChecks = 200

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }
