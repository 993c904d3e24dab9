// Package catalog holds the declaration in force on one node: routes, services,
// workspaces, keys and limits. A declaration is complete and immutable. A newer
// version replaces it as a whole, so that no request sees a mix of two versions.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomhatch/internal/mesh"
)

// separators are the characters that names must not contain, because they delimit
// fields in the headers that nodes exchange.
const separators = ";\r\n"

// WeightedService is one of the services of a route, with its weight.
type WeightedService struct {
	Service mesh.Service
	Weight  float64
}

// Route maps requests, by host and path prefix, to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string            // begins and ends with a slash
	Services      []WeightedService // receive the requests in proportion to their weights; at least one
	Idempotent    bool              // requests may run more than once
	AuthExempt    bool              // no API key is needed
	Timeout       time.Duration     // of one request with all its attempts; zero: not declared
	TargetLatency time.Duration     // a later response is worth less to the caller; zero: not declared
	Class         mesh.Class
	MaxAttempts   int // attempts that may reach an upstream, per request; zero: no limit
}

// Workspace is a tenant, with its API keys and its rate limit over all nodes.
type Workspace struct {
	Name          mesh.Workspace
	Keys          []string
	Class         mesh.Class // takes precedence over the class of the route
	RatePerSecond float64    // zero: no limit
	Burst         float64    // requests above the rate that are admitted at a time
}

// Service holds the declared properties of a service.
type Service struct {
	Name           mesh.Service
	HealthPath     string // path of the health probe; empty: none
	MaxConnections int    // to one upstream; zero: no limit; nodes do not enforce it
	// ColdPerSecond is the number of requests per second that an upstream takes while it is
	// cold, which it is for ColdStart after a start. Zero: no limit.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Limits holds the limits that apply to every caller.
type Limits struct {
	MaxHeader   int           // bytes of the head of a request; zero: no limit
	MaxBody     int64         // bytes of a request body; zero: no limit
	IdleTimeout time.Duration // of a caller's connection; nodes do not enforce it
}

// Declaration is a decoded but not yet validated declaration.
type Declaration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog indexes a declaration for the lookups that serving a request needs.
type Catalog struct {
	Version    uint64
	Limits     Limits
	Workspaces []Workspace
	byHost     map[string][]*Route // by host in lower case; longest prefix first
	byKey      map[string]*Workspace
	services   map[mesh.Service]Service
}

// New validates a declaration and builds its catalog.
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
		if s.ColdPerSecond < 0 || s.ColdStart < 0 {
			return nil, fmt.Errorf("service %q: the rate %v and the time %v of a cold start must not be negative", s.Name, s.ColdPerSecond, s.ColdStart)
		}
		c.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := validateRoute(r); err != nil {
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
			return nil, fmt.Errorf("workspace %q: the name must not contain a semicolon, CR or LF", c.Workspaces[i].Name)
		}
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	return c, nil
}

func validateRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: host %q must not be empty and prefix %q must begin and end with a slash", r.Name, r.Host, r.Prefix)
	}
	if len(r.Services) == 0 {
		return fmt.Errorf("route %q: at least one service is required", r.Name)
	}
	if strings.ContainsAny(r.Name, separators) {
		return fmt.Errorf("route %q: the name must not contain a semicolon, CR or LF", r.Name)
	}
	for _, s := range r.Services {
		if s.Service == "" || strings.ContainsAny(string(s.Service), separators) || s.Weight < 0 {
			return fmt.Errorf("route %q: service name %q must not be empty or contain a semicolon, CR or LF, and its weight %v must not be negative", r.Name, s.Service, s.Weight)
		}
	}
	return nil
}

// Route returns the route of the host with the longest prefix of the path, or nil. A
// port in the host is ignored.
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

// Service returns the declared properties of a service, or false if the service is not
// declared.
func (c *Catalog) Service(name mesh.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the sorted names of the declared services.
func (c *Catalog) Services() []mesh.Service {
	names := make([]mesh.Service, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
