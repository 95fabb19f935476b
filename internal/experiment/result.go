package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits keeps the relative error of a percentile below 0.1 %.
	significantDigits = 4
)

// Quantiles are percentiles in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
}

// Result is the result of one run.
type Result struct {
	Profile string `json:"profile"`
	Policy  Policy `json:"policy"`
	Seed    uint64 `json:"seed"`
	Faults  bool   `json:"faults"`
	// Online is the number of online requests after the warmup.
	Online int `json:"online_requests"`
	// FirstToken is the time from sending a request to receiving its first token.
	FirstToken Quantiles `json:"first_token"`
	// TokenGap is the time between tokens.
	TokenGap Quantiles `json:"token_gap"`
	// Refused counts requests that were refused as not run, Late those whose first token missed the deadline.
	Refused int `json:"refused"`
	Late    int `json:"late"`
	Failed  int `json:"failed"`
	// RefusedAfter is the time from sending a request to its refusal.
	RefusedAfter Quantiles `json:"refused_after"`
	// OnlineShare is the share of all slot time that online requests occupied.
	OnlineShare          float64     `json:"online_slot_share"`
	Batch                BatchCounts `json:"batch"`
	BatchTokensPerSecond float64     `json:"batch_tokens_per_second"`
	BatchItemsPerSecond  float64     `json:"batch_items_per_second"`
	// Traffic is the traffic between entries over the whole run, including the warmup.
	Traffic Traffic `json:"traffic"`
	// FirstTokenCurve holds percentiles from 0 to 99.9, for the plot.
	FirstTokenCurve []Point `json:"first_token_curve"`
}

// Point is one point of a percentile curve.
type Point struct {
	Percentile   float64 `json:"percentile"`
	Milliseconds float64 `json:"ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values above highestMicros, which exceed the duration of a run.
	_ = h.RecordValue(max(lowestMicros, d.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: percentileMillis(h, 50), P95: percentileMillis(h, 95), P99: percentileMillis(h, 99), P999: percentileMillis(h, 99.9)}
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// curvePercentiles are the percentiles of the plot.
var curvePercentiles = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9}

func percentileCurve(h *hdrhistogram.Histogram) []Point {
	points := make([]Point, len(curvePercentiles))
	for i, p := range curvePercentiles {
		points[i] = Point{Percentile: p, Milliseconds: percentileMillis(h, p)}
	}
	return points
}

func (r *run) summarize(results []onlineResult, counts BatchCounts) Result {
	o := r.options
	result := Result{Profile: o.Profile.Name, Policy: o.Policy, Seed: o.Seed, Faults: o.Faults, Batch: counts}
	firstTokens, gaps, refusals := newHistogram(), newHistogram(), newHistogram()
	var slotTime time.Duration
	for _, a := range results {
		if a.at < o.Warmup {
			continue
		}
		result.Online++
		switch {
		case a.refused:
			result.Refused++
			record(refusals, a.refusedAfter)
		case a.failed:
			result.Failed++
		default:
			record(firstTokens, a.firstToken)
			for _, gap := range a.gaps {
				record(gaps, gap)
			}
			slotTime += a.occupied
			if a.firstToken > o.Profile.Deadline {
				result.Late++
			}
		}
	}
	result.Traffic = r.fleet.snapshotTraffic()
	measured := o.Duration - o.Warmup
	result.FirstToken = quantiles(firstTokens)
	result.FirstTokenCurve = percentileCurve(firstTokens)
	result.TokenGap = quantiles(gaps)
	result.RefusedAfter = quantiles(refusals)
	result.OnlineShare = slotTime.Seconds() / (measured.Seconds() * float64(o.Profile.Engines*o.Profile.Engine.Slots))
	result.BatchTokensPerSecond = float64(counts.Tokens) / measured.Seconds()
	result.BatchItemsPerSecond = float64(counts.Items) / measured.Seconds()
	return result
}
