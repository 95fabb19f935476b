// Package capacity fits straight lines to measurements at several sizes, from which docs/CAPACITY.md
// extrapolates the cost at a larger size.
package capacity

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/gonum/stat"
)

// Series is one measured quantity at several sizes.
type Series struct {
	// Name identifies the quantity, with its unit.
	Name string `json:"name"`
	// SizeUnit is the unit of the points' sizes.
	SizeUnit string `json:"size_unit"`
	// Command is the shell command that measures the series.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	Line    Line    `json:"line"`
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a least-squares line.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square of the points' vertical distances from the line.
	Residual float64 `json:"residual"`
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through the points, which must have at least two different sizes.
func Fit(points []Point) Line {
	x := make([]float64, len(points))
	y := make([]float64, len(points))
	for i, p := range points {
		x[i] = p.Size
		y[i] = p.Value
	}
	line := Line{}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for _, p := range points {
		squares += math.Pow(p.Value-line.At(p.Size), 2)
	}
	line.Residual = math.Sqrt(squares / float64(len(points)))
	return line
}

// Write fits a line to each series and writes the series as JSON to the file name in directory, which it creates if
// needed.
func Write(directory, name string, series []Series) error {
	for i := range series {
		series[i].Line = Fit(series[i].Points)
	}
	content, err := json.MarshalIndent(series, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, name), append(content, '\n'), 0o644)
}
