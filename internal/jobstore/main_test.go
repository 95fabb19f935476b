package jobstore

import (
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

const fuzzChecks = 150

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }
