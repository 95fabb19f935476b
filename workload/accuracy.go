package workload

import (
	"math"
	"time"
)

const (
	// accuracyWeight is the weight of one observation in the average errors.
	accuracyWeight = 0.02
	// minComparisons is the number of requests after which estimates may be used.
	minComparisons = 30
)

// Accuracy compares the errors of estimates with those of the mean slot time, so that estimates that are worse are not used.
type Accuracy struct {
	comparisons     int
	estimate, plain float64
}

// Observe records a slot time together with what the estimate and the mean slot time predicted.
func (a *Accuracy) Observe(actual, estimate, plain time.Duration) {
	if actual <= 0 || estimate <= 0 || plain <= 0 {
		return
	}
	a.comparisons++
	weight := max(accuracyWeight, 1/float64(a.comparisons))
	a.estimate += weight * (logError(actual, estimate) - a.estimate)
	a.plain += weight * (logError(actual, plain) - a.plain)
}

// Better reports whether estimates are at least as good as the mean slot time.
func (a *Accuracy) Better() bool {
	return a.comparisons >= minComparisons && a.estimate <= a.plain
}

func logError(actual, predicted time.Duration) float64 {
	return math.Abs(math.Log(float64(actual) / float64(predicted)))
}
