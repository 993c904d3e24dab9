// Package catalog holds the declaration in force on one node: routes, services,
// workspaces, keys and limits. A declaration is complete and immutable; a newer
// version replaces it as a whole, so no request sees parts of two versions.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
)

// separators are the characters that names must not contain, because nodes use
// them between fields.
const separators = ";\r\n"

// WeightedService is one service of a route and its weight among the route's parts.
type WeightedService struct {
	Service mesh.Service
	Weight  float64
}

// Route says which requests go to which service, and how.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Parts       []WeightedService // at least one
	Idempotent  bool   // may run more than once
	Open        bool   // needs no key
	Timeout     time.Duration
	Target      time.Duration // latency within which an answer has its full value
	Class       mesh.Class
	MaxAttempts int // upstreams that one request may be sent to
}

// Workspace is a tenant with its keys and its limit over all nodes.
type Workspace struct {
	Name          mesh.Workspace
	Keys          []string
	Class         mesh.Class // goes before the class of the route
	RatePerSecond float64    // zero: no limit
	Burst         float64
}

// Service is what is declared of a service.
type Service struct {
	Name           mesh.Service
	HealthPath     string
	MaxConnections int // of one upstream; zero: no bound
}

// Limits bound what callers may send.
type Limits struct {
	MaxBody     int64 // bytes; zero: no bound
	IdleTimeout time.Duration
}

// Declaration is the input of New.
type Declaration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog answers the questions that one request raises.
type Catalog struct {
	Version    uint64
	Limits     Limits
	Workspaces []Workspace
	byHost     map[string][]*Route // longest prefix first
	byKey      map[string]*Workspace
	services   map[mesh.Service]Service
}

// New checks a declaration and builds its catalog.
func New(d Declaration) (*Catalog, error) {
	c := &Catalog{
		Version:    d.Version,
		Limits:     d.Limits,
		Workspaces: d.Workspaces,
		byHost:     map[string][]*Route{},
		byKey:      map[string]*Workspace{},
		services:   map[mesh.Service]Service{},
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := checkRoute(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Workspaces {
		if strings.ContainsAny(string(c.Workspaces[i].Name), separators) {
			return nil, fmt.Errorf("workspace %q: the name contains a separator", c.Workspaces[i].Name)
		}
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	return c, nil
}

func checkRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: host %q and prefix %q do not name a subtree", r.Name, r.Host, r.Prefix)
	}
	if len(r.Parts) == 0 {
		return fmt.Errorf("route %q names no service", r.Name)
	}
	if strings.ContainsAny(r.Name, separators) {
		return fmt.Errorf("route %q: the name contains a separator", r.Name)
	}
	for _, p := range r.Parts {
		if p.Service == "" || strings.ContainsAny(string(p.Service), separators) || p.Weight < 0 {
			return fmt.Errorf("route %q: service %q with weight %v", r.Name, p.Service, p.Weight)
		}
	}
	return nil
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceForKey returns the workspace that holds the key, or nil.
func (c *Catalog) WorkspaceForKey(key string) *Workspace { return c.byKey[key] }

// Service returns what is declared of a service.
func (c *Catalog) Service(name mesh.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of the declared services.
func (c *Catalog) Services() []mesh.Service {
	names := make([]mesh.Service, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
