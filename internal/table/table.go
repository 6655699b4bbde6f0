package table

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/micahaven/micahaven/internal/identity"
)

// Key prefixes in the key-value service.
const (
	Prefix        = "/micahaven/table/"
	rowPrefix     = Prefix + "row/"
	policyPrefix  = Prefix + "service/"
	historyPrefix = "/micahaven/history/"
)

// Table is the whole table at one moment.
type Table struct {
	Policies []Policy `json:"services" yaml:"services"`
	Rows     []Row    `json:"rows" yaml:"rows"`
}

// Change is one stored entry with who made it.
type Change struct {
	// ID is unique per change, so that a writer whose answer was lost can tell
	// by reading whether its change took effect.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Row    *Row      `json:"row,omitempty"`
	Policy *Policy   `json:"policy,omitempty"`
	// Deleted is set in the history when the entry was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// Key returns the key under which the change's entry is stored.
func (c *Change) Key() string {
	if c.Policy != nil {
		return PolicyKey(c.Policy.Service)
	}
	return RowKey(c.Row.Service, c.Row.Site)
}

// HistoryKey returns the key under which the change itself is kept.
func (c *Change) HistoryKey() string { return historyPrefix + c.ID }

// HistoryPrefix is the prefix of all kept changes, which sort by time.
func HistoryPrefix() string { return historyPrefix }

// RowKey returns the key of a row.
func RowKey(service identity.ServiceName, site string) string {
	return rowPrefix + string(service) + "/" + site
}

// PolicyKey returns the key of a service's policy.
func PolicyKey(service identity.ServiceName) string {
	return policyPrefix + string(service)
}

// Validate checks every entry and that each row's service has a policy.
func (t *Table) Validate() error {
	known := make(map[identity.ServiceName]bool)
	for i := range t.Policies {
		policy := &t.Policies[i]
		if err := policy.Validate(); err != nil {
			return err
		}
		if known[policy.Service] {
			return errors.Wrapf(ErrInvalid, "field services: %s stands twice, allowed: once", policy.Service)
		}
		known[policy.Service] = true
	}
	seen := make(map[string]bool)
	for i := range t.Rows {
		row := &t.Rows[i]
		if err := row.Validate(); err != nil {
			return err
		}
		if !known[row.Service] {
			return errors.Wrapf(ErrInvalid, "row %s/%s: field service: %s, allowed: a service of the services list", row.Service, row.Site, row.Service)
		}
		key := RowKey(row.Service, row.Site)
		if seen[key] {
			return errors.Wrapf(ErrInvalid, "field rows: %s/%s stands twice, allowed: once", row.Service, row.Site)
		}
		seen[key] = true
	}
	return nil
}

// Policy returns the policy of a service, or nil.
func (t *Table) Policy(service identity.ServiceName) *Policy {
	for i := range t.Policies {
		if t.Policies[i].Service == service {
			return &t.Policies[i]
		}
	}
	return nil
}

// Row returns the row of a service and site, or nil.
func (t *Table) Row(service identity.ServiceName, site string) *Row {
	for i := range t.Rows {
		if t.Rows[i].Service == service && t.Rows[i].Site == site {
			return &t.Rows[i]
		}
	}
	return nil
}

// Sort puts the entries into a fixed order.
func (t *Table) Sort() {
	slices.SortFunc(t.Policies, func(a, b Policy) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(t.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Site, b.Site))
	})
}

// ParseYAML reads a table and checks it. Unknown fields are refused.
func ParseYAML(text []byte) (*Table, error) {
	var parsed Table
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Newf("table: %s", yaml.FormatError(err, false, true)), ErrInvalid)
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	parsed.Sort()
	return &parsed, nil
}

// FormatYAML writes a table so that ParseYAML reads the same one.
func (t *Table) FormatYAML() ([]byte, error) {
	return yaml.Marshal(t)
}

// jsonName names a field in errors as operators write it.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
