package tenants

import "time"

// Verdict is the result of authorizing a request by its API key.
type Verdict int

const (
	// Anonymous means that the request needs no tenant.
	Anonymous Verdict = iota
	// Known means that the request belongs to a tenant.
	Known
	// KeyMissing means that the request needs exactly one key and has none, or more than one.
	KeyMissing
	// KeyUnknown means that no tenant has the key.
	KeyUnknown
	// CopyOld means that this node's copy of the configuration is too old to decide.
	CopyOld
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Anonymous:
		return "anonymous"
	case Known:
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

// Staleness defines how a node decides on keys when its copy of the configuration is old.
type Staleness struct {
	// Unknown is the age from which a key that the copy lacks may have been added since. The
	// client is then told to retry, instead of that the key is wrong.
	Unknown time.Duration
	// Revoked is the age from which a key in the copy may have been revoked, so that no key is
	// accepted any more; 0 if keys stay valid until the node learns otherwise.
	Revoked time.Duration
}

// Authorize decides on a request by the keys in its headers. public is true if its route needs
// no key.
func (d *Directory) Authorize(public bool, keys []string, freshness Freshness, staleness Staleness) (*Tenant, Verdict) {
	if public || d.Empty() {
		return nil, Anonymous
	}
	if len(keys) != 1 || keys[0] == "" {
		return nil, KeyMissing
	}
	olderThan := func(age time.Duration) bool { return !freshness.Confirmed || freshness.Age > age }
	if staleness.Revoked > 0 && olderThan(staleness.Revoked) {
		return nil, CopyOld
	}
	tenant := d.Find(keys[0])
	switch {
	case tenant != nil:
		return tenant, Known
	case olderThan(staleness.Unknown):
		return nil, CopyOld
	default:
		return nil, KeyUnknown
	}
}
