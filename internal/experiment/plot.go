package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws the percentiles of the time to the first token of each policy on a logarithmic scale and
// writes them to path; the file extension selects the format.
func (c Comparison) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time to first token: %s, seed %d, faults %t", c.Profile, c.Seed, c.Faults)
	p.X.Label.Text = "percentile of online requests"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, r := range c.Results {
		if r.Online > 0 {
			lines = append(lines, string(r.Policy), curvePoints(r.FirstTokenCurve))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func curvePoints(curve []Point) plotter.XYs {
	points := make(plotter.XYs, len(curve))
	for i, point := range curve {
		points[i].X = point.Percentile
		points[i].Y = point.Milliseconds
	}
	return points
}
