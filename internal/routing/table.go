// Package routing holds the operators' configuration of a router: which requests
// go to which service, and what holds for them. A Table is checked whole when it
// is built and never changes afterwards.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/tenants"
)

// ErrInvalid means that a table cannot be used. The message names the field, its
// value and what is allowed.
var ErrInvalid = errors.New("invalid routing table")

// Backend is one service of a route and its part of the requests.
type Backend struct {
	Service string
	// Weight is the backend's part, relative to the other weights of the route.
	Weight float64
}

// Route says what holds for requests to one host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatable requests may run more than once; others run at most once.
	Repeatable bool
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// MaxAttempts is the largest number of servers a request may be sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public routes need no key of a tenant.
	Public   bool
	Backends []Backend
}

// Service says what holds for all servers of a service.
type Service struct {
	Name string
	// MaxConnections is how many connections a server takes from all callers.
	MaxConnections int
	// HealthPath is where a server tells whether it warms up; empty if nowhere.
	HealthPath string
	// KeyDivided services have one owner for each key.
	KeyDivided bool
	// WarmUp is how long a server warms up after a start, and WarmUpRate how many
	// requests a second it bears meanwhile; 0 means that nothing is said of that.
	WarmUp     time.Duration
	WarmUpRate float64
	// KeyWarmUp is for how long keys are slow at an owner that got them without the
	// handover of the one before.
	KeyWarmUp time.Duration
}

// Limits bound what a client may send and how long it may idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is the content of a table before it is checked.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Tenants  []tenants.Spec
	Limits   Limits
}

// Table is a checked configuration. It is immutable and safe for concurrent use.
type Table struct {
	version  int64
	limits   Limits
	services map[string]Service
	tenants  *tenants.Directory
	routes   map[string][]*Route
}

const defaultObjective = time.Second

// NewTable checks a specification as a whole and indexes it.
func NewTable(spec Spec) (*Table, error) {
	table := &Table{
		version:  spec.Version,
		limits:   spec.Limits,
		services: make(map[string]Service, len(spec.Services)),
		routes:   make(map[string][]*Route),
	}
	for _, service := range spec.Services {
		if service.Name == "" {
			return nil, invalid("service name", service.Name, "not empty")
		}
		if service.WarmUp < 0 {
			return nil, invalid("service "+service.Name+" warm-up", service.WarmUp, "not negative")
		}
		if service.WarmUpRate < 0 {
			return nil, invalid("service "+service.Name+" warm-up rate", service.WarmUpRate, "not negative")
		}
		table.services[service.Name] = service
	}
	directory, err := tenants.NewDirectory(spec.Tenants)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "tenants of the table"), ErrInvalid)
	}
	table.tenants = directory
	for index := range spec.Routes {
		route := spec.Routes[index]
		if err := table.checkRoute(&route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		table.routes[host] = append(table.routes[host], &route)
	}
	for _, routes := range table.routes {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return table, nil
}

func (t *Table) checkRoute(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return invalid("route "+route.Name+" path prefix", route.PathPrefix, "begins and ends with /")
	}
	if len(route.Backends) == 0 {
		return invalid("route "+route.Name+" backends", route.Backends, "at least one service")
	}
	total := 0.0
	for _, backend := range route.Backends {
		if _, known := t.services[backend.Service]; !known {
			return invalid("route "+route.Name+" service", backend.Service, "a service of the table")
		}
		if backend.Weight < 0 {
			return invalid("route "+route.Name+" weight", backend.Weight, "not negative")
		}
		total += backend.Weight
	}
	if total <= 0 {
		return invalid("route "+route.Name+" weights", total, "a positive sum")
	}
	if route.Timeout <= 0 {
		return invalid("route "+route.Name+" timeout", route.Timeout, "positive")
	}
	if route.MaxAttempts < 1 {
		route.MaxAttempts = 1
	}
	if route.Objective <= 0 {
		route.Objective = defaultObjective
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", field, value, allowed)
}

// Version is the operators' version of the table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.limits }

// Tenants returns the tenants.
func (t *Table) Tenants() *tenants.Directory { return t.tenants }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, known := t.services[name]
	return service, known
}

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]Service { return t.services }

// Match returns the route of a host whose prefix is the longest that begins the
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes := t.routes[host]
	if routes == nil {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.routes[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Choose returns the service for a position between 0 and 1, so that evenly
// spread positions divide requests in proportion to the weights.
func (r *Route) Choose(position float64) string {
	total := 0.0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	passed := 0.0
	for _, backend := range r.Backends {
		passed += backend.Weight / total
		if position < passed && backend.Weight > 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
