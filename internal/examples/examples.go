// Package examples holds the two deployments of today: their declarations and
// the sizes of the stand-in upstreams that represent them on one machine. They
// serve the dev mesh, the experiments and the tests, which would otherwise drift
// apart.
package examples

import (
	"embed"
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
)

//go:embed examples/*.ini
var declarations embed.FS

// UpstreamGroup is the group of equal upstreams of one service.
type UpstreamGroup struct {
	Service     mesh.Service
	Count       int
	Slots       int // calls one upstream runs at a time
	Connections int // connections one upstream accepts
}

// Deployment is one mesh with its stand-in upstreams.
type Deployment struct {
	Name           string
	Declaration    declaration.File
	DataCentres    []mesh.DataCentre
	Upstreams      []UpstreamGroup
	OneWay         time.Duration // between two data centres
	ClientOneWay   time.Duration // between a client and any data centre
	ConnectionCost time.Duration // of opening a connection to an upstream
	ProbeCost      time.Duration // of one health probe at an upstream
}

var deployments = []Deployment{
	{
		Name:        "hanskasmidjan",
		DataCentres: []mesh.DataCentre{"reykjavik", "hafnarfjordur", "keflavik"},
		Upstreams: []UpstreamGroup{
			{Service: "catalogue", Count: 5, Slots: 100, Connections: 750},
			{Service: "orders-and-payments", Count: 4, Slots: 100, Connections: 750},
			{Service: "media-uploads", Count: 3, Slots: 150, Connections: 900},
			{Service: "stock", Count: 3, Slots: 50, Connections: 400},
		},
		OneWay:         1500 * time.Microsecond,
		ClientOneWay:   10 * time.Millisecond,
		ConnectionCost: time.Millisecond,
	},
	{
		Name:        "himalaya",
		DataCentres: []mesh.DataCentre{"kathmandu", "lalitpur", "bhaktapur"},
		Upstreams: []UpstreamGroup{
			{Service: "order-history", Count: 6, Slots: 100, Connections: 700},
			{Service: "booking-and-billing", Count: 4, Slots: 150, Connections: 1000},
			{Service: "scan-intake", Count: 3, Slots: 200, Connections: 1350},
			{Service: "proofs", Count: 3, Slots: 25, Connections: 250},
		},
		OneWay:         time.Millisecond,
		ClientOneWay:   10 * time.Millisecond,
		ConnectionCost: time.Millisecond,
		ProbeCost:      5 * time.Millisecond,
	},
}

// Names lists the deployments.
func Names() []string {
	names := make([]string, len(deployments))
	for i, d := range deployments {
		names[i] = d.Name
	}
	return names
}

// Get returns a deployment by name. The caller owns the result.
func Get(name string) (Deployment, error) {
	i := slices.IndexFunc(deployments, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, fmt.Errorf("deployment %q is none of %s", name, strings.Join(Names(), ", "))
	}
	d := deployments[i]
	d.DataCentres = slices.Clone(d.DataCentres)
	d.Upstreams = slices.Clone(d.Upstreams)
	file := name + ".ini"
	data, err := declarations.ReadFile("examples/" + file)
	if err != nil {
		return Deployment{}, fmt.Errorf("declaration of deployment %q: %w", name, err)
	}
	d.Declaration = declaration.File{Name: file, Data: data}
	return d, nil
}
