package timeline

import (
	"html/template"
	"io"
)

// page is the template of an HTML page without scripts or external resources. The
// rows have the kind of the event as their CSS class.
var page = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 14px/1.4 sans-serif; margin: 1.5em; color: #222; }
table { border-collapse: collapse; margin-bottom: 1.5em; }
th, td { text-align: left; padding: 2px 10px; border-bottom: 1px solid #ddd; }
th { position: sticky; top: 0; background: #fff; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.refused td, tr.failed td { background: #fdecea; }
tr.withdrawn td, tr.lapsed td, tr.left td { background: #fff6e0; }
tr.answered td, tr.joined td, tr.fresh td { background: #eef8ee; }
tr.revision td, tr.shares td { background: #eaf1fd; }
code { white-space: nowrap; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>{{len .Events}} events on {{.Hosts}} hosts{{if .Events}}, from {{.First}} to {{.Last}}{{end}}.</p>
<table>
<tr><th>kind</th><th>events</th></tr>
{{range .Kinds}}<tr class="{{.Kind}}"><td>{{.Kind}}</td><td class="number">{{.Count}}</td></tr>
{{end}}</table>
<table>
<tr><th>time</th><th>host</th><th>kind</th><th>action</th><th>workspace</th><th>service</th><th>reason</th><th>value</th></tr>
{{range .Events}}<tr class="{{.Kind}}"><td><code>{{.Stamp}}</code></td><td>{{.Host}}</td><td>{{.Kind}}</td><td><code>{{if .Action}}{{printf "%x" .Action}}{{end}}</code></td><td>{{.Workspace}}</td><td>{{.Service}}</td><td>{{if .Reason}}{{.Reason}}{{end}}</td><td class="number">{{.Value}}</td></tr>
{{end}}</table>
</body>
</html>
`))

type kindCount struct {
	Kind  Kind
	Count int
}

// WriteHTML writes the events, which must be sorted by stamp, as one self-contained
// HTML page.
func WriteHTML(w io.Writer, title string, events []Event) error {
	var counts [numKinds]int
	hosts := map[string]struct{}{}
	for _, e := range events {
		if e.Kind < numKinds {
			counts[e.Kind]++
		}
		hosts[string(e.Host)] = struct{}{}
	}
	data := struct {
		Title       string
		Events      []Event
		Hosts       int
		First, Last Stamp
		Kinds       []kindCount
	}{Title: title, Events: events, Hosts: len(hosts)}
	if len(events) > 0 {
		data.First, data.Last = events[0].Stamp, events[len(events)-1].Stamp
	}
	for kind, count := range counts {
		if count > 0 {
			data.Kinds = append(data.Kinds, kindCount{Kind(kind), count})
		}
	}
	return page.Execute(w, data)
}
