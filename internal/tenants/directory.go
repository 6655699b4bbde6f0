// Package tenants identifies the tenant of a request by its API key, and holds the priority and
// rate limit of each tenant. It does no I/O. A Directory is validated as a whole when it is
// built and never changes.
package tenants

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that the tenants in a configuration are invalid. The message names the
// field, its value and what is allowed.
var ErrInvalid = errors.New("invalid tenants")

// Limit is a tenant's rate limit over all nodes together.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is how many requests above the rate may arrive at once.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate == 0 }

// Tenant is a group of clients that share a priority and a rate limit.
type Tenant struct {
	Name string
	// Priority, if set, overrides that of the route; 0 is the most urgent.
	Priority *int
	Limit    Limit
}

// Spec is a tenant as written in the configuration.
type Spec struct {
	Tenant
	// Keys are the API keys of the tenant's clients.
	Keys []string
}

// keyDigest is the hash of a key. The directory holds no keys, so that none can be read from a
// node's memory, and the time of a look-up does not reveal how much of a key was guessed
// correctly.
type keyDigest [sha256.Size]byte

// Directory finds tenants by API key. It is immutable and safe for concurrent use.
type Directory struct {
	byName map[string]*Tenant
	byKey  map[keyDigest]*Tenant
}

// NewDirectory validates all tenants and returns a directory of them.
func NewDirectory(specs []Spec) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Tenant, len(specs)), byKey: make(map[keyDigest]*Tenant, len(specs))}
	for index := range specs {
		if err := d.add(&specs[index]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(spec *Spec) error {
	tenant := spec.Tenant
	switch {
	case tenant.Name == "":
		return invalid("tenant name", tenant.Name, "not empty")
	case d.byName[tenant.Name] != nil:
		return invalid("tenant name", tenant.Name, "unique names")
	case !(tenant.Limit.Rate >= 0):
		return invalid("tenant "+tenant.Name+" rate", tenant.Limit.Rate, "0 or more")
	case !(tenant.Limit.Burst >= 0):
		return invalid("tenant "+tenant.Name+" burst", tenant.Limit.Burst, "0 or more")
	case tenant.Limit.Burst > 0 && tenant.Limit.Unlimited():
		return invalid("tenant "+tenant.Name+" burst", tenant.Limit.Burst, "0 without a rate")
	}
	d.byName[tenant.Name] = &tenant
	for number, key := range spec.Keys {
		if key == "" {
			return errors.Wrapf(ErrInvalid, "field tenant %s key %d: empty, allowed: a non-empty key", tenant.Name, number)
		}
		sum := keyDigest(sha256.Sum256([]byte(key)))
		if other := d.byKey[sum]; other != nil && other != &tenant {
			// The message must not contain the key.
			return errors.Wrapf(ErrInvalid, "field tenant %s key %d: also a key of tenant %s, allowed: a key of one tenant only", tenant.Name, number, other.Name)
		}
		d.byKey[sum] = &tenant
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", field, value, allowed)
}

// Empty reports whether there are no tenants, in which case no request needs a key.
func (d *Directory) Empty() bool { return len(d.byName) == 0 }

// Find returns the tenant that has a key, or nil.
func (d *Directory) Find(key string) *Tenant { return d.byKey[sha256.Sum256([]byte(key))] }

// ByName returns the tenant with a name, or nil.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// Limits returns the limits of the tenants that have one, by tenant name.
func (d *Directory) Limits() map[string]Limit {
	limits := make(map[string]Limit)
	for name, tenant := range d.byName {
		if !tenant.Limit.Unlimited() {
			limits[name] = tenant.Limit
		}
	}
	return limits
}
