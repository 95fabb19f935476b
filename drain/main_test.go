package drain_test

import (
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1000) }
