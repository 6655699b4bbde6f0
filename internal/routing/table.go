// Package routing holds the operators' configuration of a router: the mapping of requests
// to services and the policies of routes and services. A Table is validated as a whole when
// it is built and is immutable afterwards.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/tenants"
)

// ErrInvalid means that a table failed validation. The message contains the field, its value
// and the allowed values.
var ErrInvalid = errors.New("invalid routing table")

// Backend is a service of a route with its share of the requests.
type Backend struct {
	Service string
	// Weight is the backend's share, relative to the sum of the weights of the route.
	Weight float64
}

// Route is the policy for requests to one host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatable requests may be executed more than once, others at most once.
	Repeatable bool
	// Timeout is the longest time that the router may spend on a request.
	Timeout time.Duration
	// Objective is the latency objective; a later response is of less use to the caller.
	Objective time.Duration
	// MaxAttempts is the maximum number of servers that a request may be sent to.
	MaxAttempts int
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Public routes do not require a tenant's API key.
	Public   bool
	Backends []Backend
}

// Service is the policy for all servers of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a server accepts in total, from all
	// clients.
	MaxConnections int
	// HealthPath is the path at which a server reports whether it is warming up; empty if it
	// does not report that.
	HealthPath string
	// ShardedByKey services are sharded by key: each key has one owner.
	ShardedByKey bool
	// WarmUp is how long a server warms up after a start. WarmUpRate is the number of
	// requests per second that it can handle meanwhile. 0 means not configured.
	WarmUp     time.Duration
	WarmUpRate float64
	// KeyWarmUp is the time for which requests for a key are slow at a new owner that got the
	// key without a handover from the previous owner.
	KeyWarmUp time.Duration
}

// Limits bounds the size of client requests and the time that clients may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is the content of a table before validation.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Tenants  []tenants.Spec
	Limits   Limits
}

// Table is a validated configuration. It is immutable and safe for concurrent use.
type Table struct {
	version  int64
	limits   Limits
	services map[string]Service
	tenants  *tenants.Directory
	routes   map[string][]*Route
}

// defaultObjective applies to routes without a configured objective.
const defaultObjective = time.Second

// NewTable validates and indexes a specification. It returns ErrInvalid if any part of it
// is invalid.
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
		return nil, errors.Mark(errors.Wrap(err, "invalid tenants"), ErrInvalid)
	}
	table.tenants = directory
	for index := range spec.Routes {
		route := spec.Routes[index]
		if err := table.validateRoute(&route); err != nil {
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

// validateRoute checks a route and sets defaults for missing values.
func (t *Table) validateRoute(route *Route) error {
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

// invalid returns an ErrInvalid for a field with its value and the allowed values.
func invalid(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", field, value, allowed)
}

// Version returns the version that the operators gave the table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for clients.
func (t *Table) Limits() Limits { return t.limits }

// Tenants returns the directory of tenants.
func (t *Table) Tenants() *tenants.Directory { return t.tenants }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, known := t.services[name]
	return service, known
}

// Services returns all services by name. The map must not be changed.
func (t *Table) Services() map[string]Service { return t.services }

// Match returns the route of the host with the longest path prefix that matches the path,
// or nil if there is none. Routes for the host with its port take precedence over routes for
// the host without port.
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

// Choose maps a position between 0 and 1 to a service. Uniformly distributed positions
// divide requests in proportion to the weights.
func (r *Route) Choose(position float64) string {
	total := 0.0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	cumulative := 0.0
	for _, backend := range r.Backends {
		cumulative += backend.Weight / total
		if position < cumulative && backend.Weight > 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
