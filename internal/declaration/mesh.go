// Package declaration describes a mesh: its services, the routes that callers use,
// the call graph between services and the workspaces with their rates. It checks a
// declaration completely before the declaration can become a change of the
// configuration. The text form is INI; the in-memory form is an immutable Mesh.
package declaration

import (
	"fmt"
	"math"
	"regexp"
	"time"

	"cardamomhatch/internal/mesh"
)

// Limits of a declaration.
const (
	// MaxDepth is the maximum number of services in a call chain of one customer
	// action.
	MaxDepth = 15
	// MaxCallsPerParent limits Edge.CallsPerParent.
	MaxCallsPerParent = 1000
	// MaxConcurrency limits Service.MaxConcurrency.
	MaxConcurrency = 1_000_000
	// MaxTimeout equals the lifetime of a ticket. A call that runs longer would
	// outlive its ticket, and its response could not be replayed.
	MaxTimeout = 10 * time.Minute
	// MaxRate limits rates, in calls per second, and bursts, in calls. Quota counts
	// millionths of a call in int64, which overflows only after more than 9,000 seconds
	// at this rate.
	MaxRate = 1e9
	// MaxWeight is the maximum weight of a workspace, and 1/MaxWeight the minimum.
	// Together they limit the ratio between the weights of two workspaces.
	MaxWeight = 1e6
)

// Mesh is a checked declaration. It is immutable: neither this package nor its
// users modify it or anything it refers to.
type Mesh struct {
	Name       string
	Services   map[mesh.Service]Service
	Routes     []Route // sorted by Route.Key
	Edges      []Edge  // sorted by Edge.Key
	Workspaces map[mesh.Workspace]Workspace
}

// Header is the [mesh] section.
type Header struct {
	Name string `json:"name"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name mesh.Service `json:"name"`
	// MaxConcurrency is a hint for the maximum number of calls in flight at one
	// upstream; 0 means no hint.
	MaxConcurrency int `json:"max_concurrency,omitempty"`
}

// Route maps requests of callers to a service.
type Route struct {
	Method     string        `json:"method"`
	Pattern    string        `json:"pattern"` // path part of a net/http mux pattern
	Service    mesh.Service  `json:"service"`
	Idempotent bool          `json:"idempotent,omitempty"`
	Class      mesh.Class    `json:"class"`
	Timeout    time.Duration `json:"timeout_ns"`
}

// Edge permits calls from one service to another.
type Edge struct {
	From           mesh.Service  `json:"from"`
	To             mesh.Service  `json:"to"`
	CallsPerParent int           `json:"calls_per_parent"`
	Idempotent     bool          `json:"idempotent,omitempty"`
	Timeout        time.Duration `json:"timeout_ns,omitempty"` // 0: only the parent's deadline applies
}

// Workspace is a tenant with its rate limit and its weight.
type Workspace struct {
	Name          mesh.Workspace `json:"name"`
	RatePerSecond float64        `json:"rate_per_second"` // 0 rejects every call
	Burst         float64        `json:"burst"`           // calls
	Weight        float64        `json:"weight"`          // relative to other workspaces under overload
}

// Key identifies the service among the objects of a mesh.
func (s Service) Key() string { return "service " + string(s.Name) }

// Key identifies the route among the objects of a mesh.
func (r Route) Key() string { return "route " + r.Method + " " + r.Pattern }

// Key identifies the edge among the objects of a mesh.
func (e Edge) Key() string { return "edge " + string(e.From) + " " + string(e.To) }

// Key identifies the workspace among the objects of a mesh.
func (w Workspace) Key() string { return "workspace " + string(w.Name) }

// HeaderKey identifies the header among the objects of a mesh.
const HeaderKey = "mesh"

// Object holds exactly one object of a mesh.
type Object struct {
	Header    *Header    `json:"mesh,omitempty"`
	Service   *Service   `json:"service,omitempty"`
	Route     *Route     `json:"route,omitempty"`
	Edge      *Edge      `json:"edge,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
}

// Key identifies the object and is the name of its section. It is empty if o does
// not hold exactly one object.
func (o Object) Key() string {
	key, count := "", 0
	if o.Header != nil {
		key, count = HeaderKey, count+1
	}
	if o.Service != nil {
		key, count = o.Service.Key(), count+1
	}
	if o.Route != nil {
		key, count = o.Route.Key(), count+1
	}
	if o.Edge != nil {
		key, count = o.Edge.Key(), count+1
	}
	if o.Workspace != nil {
		key, count = o.Workspace.Key(), count+1
	}
	if count != 1 {
		return ""
	}
	return key
}

// fieldProblem is an invalid field of one object. An empty field means the object
// as a whole.
type fieldProblem struct{ field, reason string }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const nameRule = "must be 1 to 64 letters, digits, dots, dashes or underscores and start with a letter or digit"

// checkName appends a problem if the name is invalid. checkRange does so if the value
// is outside low to high, and checkTimeout if the timeout is outside low to MaxTimeout.
func checkName(problems []fieldProblem, field, name string) []fieldProblem {
	if namePattern.MatchString(name) {
		return problems
	}
	return append(problems, fieldProblem{field, fmt.Sprintf("name %q %s", name, nameRule)})
}

func checkRange(problems []fieldProblem, field string, value, low, high float64) []fieldProblem {
	if value >= low && value <= high && !math.IsNaN(value) {
		return problems
	}
	return append(problems, fieldProblem{field, fmt.Sprintf("%v is outside %v to %v", value, low, high)})
}

func checkTimeout(problems []fieldProblem, low, timeout time.Duration) []fieldProblem {
	if timeout >= low && timeout <= MaxTimeout {
		return problems
	}
	return append(problems, fieldProblem{"timeout", fmt.Sprintf("%v is outside %v to %v", timeout, low, MaxTimeout)})
}

// check returns every problem of the object that does not depend on other objects.
func (o Object) check() []fieldProblem {
	switch {
	case o.Header != nil:
		return checkName(nil, "name", o.Header.Name)
	case o.Service != nil:
		problems := checkName(nil, "", string(o.Service.Name))
		return checkRange(problems, "max_concurrency", float64(o.Service.MaxConcurrency), 0, MaxConcurrency)
	case o.Route != nil:
		return o.Route.check()
	case o.Edge != nil:
		problems := checkName(nil, "", string(o.Edge.From))
		problems = checkName(problems, "", string(o.Edge.To))
		problems = checkRange(problems, "calls_per_parent", float64(o.Edge.CallsPerParent), 1, MaxCallsPerParent)
		return checkTimeout(problems, 0, o.Edge.Timeout)
	default:
		problems := checkName(nil, "", string(o.Workspace.Name))
		problems = checkRange(problems, "rate_per_second", o.Workspace.RatePerSecond, 0, MaxRate)
		problems = checkRange(problems, "burst", o.Workspace.Burst, 0, MaxRate)
		return checkRange(problems, "weight", o.Workspace.Weight, 1/MaxWeight, MaxWeight)
	}
}

func (r *Route) check() []fieldProblem {
	problems := checkName(nil, "service", string(r.Service))
	if r.Class >= mesh.NumClasses {
		problems = append(problems, fieldProblem{"class", fmt.Sprintf("%v does not exist", r.Class)})
	}
	problems = checkTimeout(problems, time.Millisecond, r.Timeout)
	if reason := checkPattern(r.Method, r.Pattern); reason != "" {
		problems = append(problems, fieldProblem{"", reason})
	}
	return problems
}
