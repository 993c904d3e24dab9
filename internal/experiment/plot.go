package experiment

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Sizes of a plot in pixels.
const (
	plotWidth   = 900
	panelHeight = 170
	panelGap    = 50
	plotLeft    = 70
	plotRight   = 230 // room for the legend
)

var palette = []string{"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#7f7f7f", "#17becf"}

// plotTemplate is a self-contained SVG document.
var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="{{.Left}}" y="20" font-size="14">{{.Title}}</text>
{{range .Panels}}<rect x="{{$.CauseX}}" y="{{.Top}}" width="{{$.CauseWidth}}" height="{{$.PanelHeight}}" fill="#f3e6e6"/>
<text x="{{$.Left}}" y="{{.TitleY}}">{{.Title}}</text>
<rect x="{{$.Left}}" y="{{.Top}}" width="{{$.PanelWidth}}" height="{{$.PanelHeight}}" fill="none" stroke="#999"/>
{{range .Ticks}}<text x="{{.X}}" y="{{.Y}}" text-anchor="{{.Anchor}}">{{.Text}}</text>
{{end}}{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.5" points="{{.Points}}"/>
<text x="{{$.LegendX}}" y="{{.LegendY}}" fill="{{.Colour}}">{{.Name}}</text>
{{end}}{{end}}</svg>
`))

type plot struct {
	Title              string
	Width, Height      int
	Left, LegendX      int
	PanelWidth         int
	PanelHeight        int
	CauseX, CauseWidth float64
	Panels             []panel
	seconds            float64 // length of the time axis
}

type panel struct {
	Title       string
	Top, TitleY int
	Ticks       []tick
	Lines       []line
}

type tick struct {
	X, Y   float64
	Anchor string
	Text   string
}

type line struct {
	Name, Colour, Points string
	LegendY              int
}

// curve is one named series of values, one per sample.
type curve struct {
	name   string
	values []float64
}

// WriteSVG plots a run over time: answers, refusals by reason, and the calls at the
// most loaded service. The time of the cause is shaded.
func (r *Result) WriteSVG(w io.Writer) error {
	perSecond := 1 / sampleInterval.Seconds()
	p := newPlot(r)
	p.add("calls per second by intended start", r.Series, []curve{
		r.curve("arrivals", func(s Sample) float64 { return perSecond * float64(s.Arrivals) }),
		r.curve("answered in time", func(s Sample) float64 { return perSecond * float64(s.InTime) }),
	})
	var refusals []curve
	for _, reason := range r.refusalReasons() {
		refusals = append(refusals, r.curve(reason, func(s Sample) float64 { return perSecond * float64(s.Refused[reason]) }))
	}
	p.add("refusals per second by reason", r.Series, refusals)
	p.add("calls at the most loaded service", r.Series, []curve{
		r.curve("in flight", func(s Sample) float64 { return float64(s.InFlight) }),
		r.curve("queued", func(s Sample) float64 { return float64(s.Queue) }),
		r.curve("limit", func(s Sample) float64 { return float64(s.Limit) }),
	})
	p.Height = panelGap + len(p.Panels)*(panelHeight+panelGap)
	return plotTemplate.Execute(w, p)
}

func newPlot(r *Result) *plot {
	p := &plot{
		Title: fmt.Sprintf("%s %s, policy %s, seed %d: goodput %.3f, critical %s, recovery %s s",
			r.Deployment, r.Scenario, r.Policy, r.Seed, r.GoodputRatio, r.critical(), r.recoveryText()),
		Width: plotWidth, Left: plotLeft, PanelWidth: plotWidth - plotLeft - plotRight, PanelHeight: panelHeight,
		LegendX: plotWidth - plotRight + 10,
	}
	p.seconds = 1
	if n := len(r.Series); n > 0 {
		p.seconds = r.Series[n-1].Second
	}
	p.CauseX = p.x(r.CauseStart)
	p.CauseWidth = p.x(r.CauseEnd) - p.CauseX
	return p
}

// x returns the horizontal position of a time, in pixels.
func (p *plot) x(second float64) float64 {
	return plotLeft + second/p.seconds*float64(p.PanelWidth)
}

func (r *Result) curve(name string, value func(Sample) float64) curve {
	c := curve{name: name}
	for _, s := range r.Series {
		c.values = append(c.values, value(s))
	}
	return c
}

func (r *Result) refusalReasons() []string {
	seen := map[string]bool{}
	for _, s := range r.Series {
		for reason := range s.Refused {
			seen[reason] = true
		}
	}
	return sortedKeys(seen)
}

// add appends a panel whose vertical scale ends at the highest value.
func (p *plot) add(title string, samples []Sample, curves []curve) {
	top := panelGap + len(p.Panels)*(panelHeight+panelGap)
	highest := 1.0
	for _, c := range curves {
		for _, v := range c.values {
			highest = max(highest, v)
		}
	}
	y := func(v float64) float64 { return float64(top+panelHeight) - v/highest*panelHeight }
	chart := panel{Title: title, Top: top, TitleY: top - 6}
	for i, c := range curves {
		var points strings.Builder
		for j, v := range c.values {
			fmt.Fprintf(&points, "%.1f,%.1f ", p.x(samples[j].Second), y(v))
		}
		chart.Lines = append(chart.Lines, line{
			Name: c.name, Colour: palette[i%len(palette)], Points: points.String(), LegendY: top + 14 + 16*i,
		})
	}
	for _, v := range []float64{0, highest / 2, highest} {
		chart.Ticks = append(chart.Ticks, tick{X: plotLeft - 6, Y: y(v) + 4, Anchor: "end", Text: fmt.Sprintf("%.0f", v)})
	}
	for i := range 5 {
		second := p.seconds * float64(i) / 4
		chart.Ticks = append(chart.Ticks, tick{X: p.x(second), Y: float64(top + panelHeight + 14), Anchor: "middle", Text: fmt.Sprintf("%.0f s", second)})
	}
	p.Panels = append(p.Panels, chart)
}
