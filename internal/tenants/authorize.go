package tenants

import "time"

// Verdict is the result of authorizing a request by its API key.
type Verdict int

const (
	// Anonymous means that the request needs no tenant.
	Anonymous Verdict = iota
	// Authorized means that the request belongs to a tenant.
	Authorized
	// KeyMissing means that the request needs exactly one key and has none, or more than one.
	KeyMissing
	// KeyUnknown means that no tenant has the key.
	KeyUnknown
	// StaleCopy means that this node's copy of the configuration is too old to decide.
	StaleCopy
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Anonymous:
		return "anonymous"
	case Authorized:
		return "known"
	case KeyMissing:
		return "key missing"
	case KeyUnknown:
		return "key unknown"
	default:
		return "copy old"
	}
}

// Freshness describes how recent a node's copy of the configuration is.
type Freshness struct {
	// Age is the time since the copy was last confirmed to be complete. Confirmed is false if
	// it never was.
	Age       time.Duration
	Confirmed bool
}

// OlderThan reports whether the copy may lack changes that are older than the given age.
func (f Freshness) OlderThan(age time.Duration) bool { return !f.Confirmed || f.Age > age }

// Staleness defines how a node decides when its copy of the configuration is old.
type Staleness struct {
	// UnknownAfter is the age from which a key or a route that the copy lacks may have been added
	// since. The response then asks the client to retry, instead of rejecting the request for good.
	UnknownAfter time.Duration
	// RevokedAfter is the age from which a key in the copy may have been revoked, so that
	// no key is accepted; 0 if keys stay valid until the node receives their revocation.
	RevokedAfter time.Duration
}

// Authorize decides on a request by the keys in its headers. public is true if its route needs
// no key.
func (d *Directory) Authorize(public bool, keys []string, freshness Freshness, staleness Staleness) (*Tenant, Verdict) {
	if public || d.Empty() {
		return nil, Anonymous
	}
	if len(keys) != 1 || keys[0] == "" {
		if freshness.OlderThan(staleness.UnknownAfter) {
			// The route may have become public since.
			return nil, StaleCopy
		}
		return nil, KeyMissing
	}
	if staleness.RevokedAfter > 0 && freshness.OlderThan(staleness.RevokedAfter) {
		return nil, StaleCopy
	}
	tenant := d.Find(keys[0])
	switch {
	case tenant != nil:
		return tenant, Authorized
	case freshness.OlderThan(staleness.UnknownAfter):
		return nil, StaleCopy
	default:
		return nil, KeyUnknown
	}
}
