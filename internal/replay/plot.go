package replay

import (
	"bytes"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/samphirerail/samphirerail/internal/state/emulator"
)

// The layout of a plot in pixels.
const (
	plotWidth   = 900
	panelHeight = 220
	margin      = 50
	// maxPoints is the approximate number of points above which a line is thinned out.
	maxPoints = 800
)

// colours are the line colours, in the order of the reports.
var colours = []string{"#1f5fa8", "#c2571a"}

// panel is one chart, which shows a value over time.
type panel struct {
	title string
	value func(s emulator.Sample) float64
}

// WritePlot writes an SVG image with charts of the waiting jobs and of the capacity in
// use over virtual time, with one line per report.
func WritePlot(w io.Writer, reports []*emulator.Report) error {
	panels := []panel{
		{"jobs waiting", func(s emulator.Sample) float64 { return float64(s.Waiting) }},
		{"capacity in use, percent", func(s emulator.Sample) float64 { return 100 * s.InUse }},
	}
	var svg bytes.Buffer
	height := len(panels)*(panelHeight+margin) + margin
	fmt.Fprintf(&svg, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, height)
	fmt.Fprintf(&svg, "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", plotWidth, height)
	for i, p := range panels {
		p.draw(&svg, margin+i*(panelHeight+margin), reports)
	}
	for i, r := range reports {
		fmt.Fprintf(&svg, "<text x=\"%d\" y=\"18\" fill=\"%s\">%s</text>\n", margin+i*120, colours[i%len(colours)], r.Policy)
	}
	svg.WriteString("</svg>\n")
	_, err := svg.WriteTo(w)
	return eris.Wrap(err, "replay: can't write the plot")
}

// draw draws the chart with its upper edge at top. All lines share one scale.
func (p panel) draw(svg *bytes.Buffer, top int, reports []*emulator.Report) {
	endTime, maxValue := 1.0, 1.0
	for _, r := range reports {
		for _, s := range r.Timeline {
			endTime = max(endTime, s.At)
			maxValue = max(maxValue, p.value(s))
		}
	}
	right := plotWidth - margin
	bottom := top + panelHeight
	fmt.Fprintf(svg, "<text x=\"%d\" y=\"%d\">%s</text>\n", margin, top-6, p.title)
	fmt.Fprintf(svg, "<path d=\"M%d %dV%dH%d\" stroke=\"black\" fill=\"none\"/>\n", margin, top, bottom, right)
	fmt.Fprintf(svg, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.0f</text>\n", margin-4, top+10, maxValue)
	fmt.Fprintf(svg, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.0f s</text>\n", right, bottom+16, endTime)
	for i, r := range reports {
		fmt.Fprintf(svg, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colours[i%len(colours)])
		step := max(1, len(r.Timeline)/maxPoints)
		for at := 0; at < len(r.Timeline); at += step {
			s := r.Timeline[at]
			x := margin + s.At/endTime*float64(right-margin)
			y := float64(bottom) - p.value(s)/maxValue*panelHeight
			fmt.Fprintf(svg, "%.1f,%.1f ", x, y)
		}
		svg.WriteString("\"/>\n")
	}
}
