package tenants

import "time"

// Verdict is what is decided of a request by the key that it shows.
type Verdict int

// The verdicts.
const (
	// Anonymous: the request needs no tenant.
	Anonymous Verdict = iota
	// Known: the request is its tenant's.
	Known
	// KeyMissing: the request needs one key and shows none, or more than one.
	KeyMissing
	// KeyUnknown: no tenant has the key.
	KeyUnknown
	// CopyOld: this node's copy of the configuration is too old to say.
	CopyOld
)

// String names the verdict in logs and metrics.
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

// Freshness is how new a node's copy of the configuration is.
type Freshness struct {
	// Age is how long ago the copy surely had all; Confirmed is false if that is not known.
	Age       time.Duration
	Confirmed bool
}

// Staleness says what a node does that has had no news for long.
type Staleness struct {
	// Unknown is the age from which a key that the copy lacks may be one that was added
	// since, so that its caller is told to come back instead of that the key is wrong.
	Unknown time.Duration
	// Revoked is the age from which a key that the copy has may have been taken away, so
	// that nobody gets in by it; 0 if keys stay good until the node hears otherwise.
	Revoked time.Duration
}

// Authorize decides on a request from the keys that it shows. open is true if its route
// needs no key.
func (d *Directory) Authorize(open bool, keys []string, freshness Freshness, staleness Staleness) (*Tenant, Verdict) {
	if open || d.Empty() {
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
