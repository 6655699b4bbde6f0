// Package tenants knows whose request a request is: the operators' tenants, the keys that
// their callers show, and what each tenant may ask for. It is pure; a Directory is checked
// whole when it is built and never changes.
package tenants

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that tenants cannot be used. The message names the field, its value and
// what is allowed.
var ErrInvalid = errors.New("invalid tenants")

// Limit is how much a tenant may ask for over all nodes together.
type Limit struct {
	// Rate is in requests a second; 0 means that there is no limit.
	Rate float64
	// Burst is how many requests above the rate may come at once.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate == 0 }

// Tenant is one of those who share the system.
type Tenant struct {
	Name string
	// Priority goes before that of the route if the tenant has one: 0 is the most urgent.
	Priority *int
	Limit    Limit
}

// Spec is a tenant as the operators wrote it.
type Spec struct {
	Tenant
	// Keys are what callers of the tenant show.
	Keys []string
}

// digest stands for a key. The directory holds no keys, so that none can be read out of a
// node, and how long a look-up takes says nothing of how much of a key was guessed.
type digest [sha256.Size]byte

// Directory finds tenants by their callers' keys. It is immutable and safe for concurrent
// use.
type Directory struct {
	byName map[string]*Tenant
	byKey  map[digest]*Tenant
}

// NewDirectory checks tenants as a whole and indexes them.
func NewDirectory(specs []Spec) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Tenant, len(specs)), byKey: make(map[digest]*Tenant, len(specs))}
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
		return invalid("tenant name", tenant.Name, "one tenant of each name")
	case !(tenant.Limit.Rate >= 0):
		return invalid("tenant "+tenant.Name+" rate", tenant.Limit.Rate, "0 or more")
	case !(tenant.Limit.Burst >= 0):
		return invalid("tenant "+tenant.Name+" burst", tenant.Limit.Burst, "0 or more")
	case tenant.Limit.Burst > 0 && tenant.Limit.Unlimited():
		return invalid("tenant "+tenant.Name+" burst", tenant.Limit.Burst, "0, as there is no rate")
	}
	d.byName[tenant.Name] = &tenant
	for number, key := range spec.Keys {
		if key == "" {
			return errors.Wrapf(ErrInvalid, "field tenant %s key %d: empty, allowed: not empty", tenant.Name, number)
		}
		of := digest(sha256.Sum256([]byte(key)))
		if other := d.byKey[of]; other != nil && other != &tenant {
			// The key itself stays out of errors and logs.
			return errors.Wrapf(ErrInvalid, "field tenant %s key %d: also of tenant %s, allowed: keys of one tenant", tenant.Name, number, other.Name)
		}
		d.byKey[of] = &tenant
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", field, value, allowed)
}

// Empty reports whether there are no tenants, so that no request needs a key.
func (d *Directory) Empty() bool { return len(d.byName) == 0 }

// Find returns the tenant that a key is of, or nil.
func (d *Directory) Find(key string) *Tenant { return d.byKey[sha256.Sum256([]byte(key))] }

// ByName returns a tenant, or nil.
func (d *Directory) ByName(name string) *Tenant { return d.byName[name] }

// Limits returns the limits of the tenants that have one, by name.
func (d *Directory) Limits() map[string]Limit {
	limits := make(map[string]Limit)
	for name, tenant := range d.byName {
		if !tenant.Limit.Unlimited() {
			limits[name] = tenant.Limit
		}
	}
	return limits
}
