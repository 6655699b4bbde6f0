// Package table is the operators' table: what they write into it, how it is
// checked, stored, imported and exported.
package table

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/micahaven/micahaven/internal/identity"
)

// Row says how one site takes part in one service.
type Row struct {
	Service identity.ServiceName `json:"service" yaml:"service" csv:"service" validate:"required,name"`
	Site    string               `json:"site" yaml:"site" csv:"site" validate:"required,name"`
	// Weight is the site's relative share of the service's slices, divided
	// evenly among its servers. A weight of 0 moves everything away.
	Weight float64 `json:"weight" yaml:"weight" csv:"weight" validate:"gte=0,lte=1000"`
	// ConnectionLimit is the number of connections that all nodes together may
	// open to one server of the site.
	ConnectionLimit int `json:"connection_limit" yaml:"connection_limit" csv:"connection_limit" validate:"gte=8,lte=100000"`
	// Slots is the number of requests that one server runs at a time.
	Slots int `json:"slots" yaml:"slots" csv:"slots" validate:"gte=1,lte=10000"`
	// Leaving lists servers that get no new work and give their slices away.
	Leaving NameList `json:"leaving,omitempty" yaml:"leaving,omitempty" csv:"leaving" validate:"dive,name"`
}

// Policy says how requests of one service are treated, at every site.
type Policy struct {
	Service identity.ServiceName `json:"service" yaml:"service" csv:"service" validate:"required,name"`
	// Slices is the number of parts the keys are divided into. It cannot change
	// once the service has an ownership group.
	Slices uint32 `json:"slices" yaml:"slices" csv:"slices" validate:"gte=1,lte=16384"`
	// Repeatable lists the HTTP methods that may be sent to a server again when
	// it is not known whether they ran. GET, HEAD and OPTIONS always may.
	Repeatable NameList `json:"repeatable,omitempty" yaml:"repeatable,omitempty" csv:"repeatable" validate:"dive,oneof=GET HEAD OPTIONS PUT DELETE POST PATCH"`
	// Priority is interactive or background.
	Priority string `json:"priority" yaml:"priority" csv:"priority" validate:"oneof=interactive background"`
	// TimeoutMillis is the deadline of requests that name none, in milliseconds.
	TimeoutMillis int `json:"timeout_millis" yaml:"timeout_millis" csv:"timeout_millis" validate:"gte=10,lte=86400000"`
	// QueueLimit is the number of requests that may wait for one server.
	QueueLimit int `json:"queue_limit" yaml:"queue_limit" csv:"queue_limit" validate:"gte=1,lte=100000"`
	// Tolerance is the imbalance accepted before keys are moved: small where
	// even load matters most, large where every move of a key hurts.
	Tolerance float64 `json:"tolerance" yaml:"tolerance" csv:"tolerance" validate:"gte=0.01,lte=2"`
}

// alwaysRepeatable holds the methods that HTTP defines as safe.
var alwaysRepeatable = []string{"GET", "HEAD", "OPTIONS"}

// MayRepeat reports whether a method may run more than once.
func (p *Policy) MayRepeat(method string) bool {
	return slices.Contains(alwaysRepeatable, method) || slices.Contains(p.Repeatable, method)
}

// IsLeaving reports whether the row names a server as leaving.
func (r *Row) IsLeaving(server identity.ServerID) bool {
	return slices.Contains(r.Leaving, string(server))
}

// NameList is a list that a CSV cell holds with spaces between the names.
type NameList []string

// MarshalCSV implements gocsv.TypeMarshaller.
func (l NameList) MarshalCSV() (string, error) { return strings.Join(l, " "), nil }

// UnmarshalCSV implements gocsv.TypeUnmarshaller.
func (l *NameList) UnmarshalCSV(cell string) error {
	*l = strings.Fields(cell)
	if len(*l) == 0 {
		*l = nil
	}
	return nil
}

// ErrInvalid means that a row or policy breaks a rule. The message names the
// field, its value and what is allowed.
var ErrInvalid = errors.New("invalid table entry")

// connectionShares is how many parts a connection limit is divided into: one
// for each of three group members, and one for a member that was replaced and
// whose connections may linger.
const connectionShares = 4

// ConnectionShare returns how many connections one node may open to a server.
func (r *Row) ConnectionShare() int { return r.ConnectionLimit / connectionShares }

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	isName := func(field validator.FieldLevel) bool { return namePattern.MatchString(field.Field().String()) }
	// Registration fails only for an empty tag name.
	if err := v.RegisterValidation("name", isName); err != nil {
		panic(err)
	}
	return v
}

// Validate checks a row by itself.
func (r *Row) Validate() error {
	if err := explain(validate.Struct(r)); err != nil {
		return errors.Wrapf(err, "row %s/%s", r.Service, r.Site)
	}
	// Each node needs a connection per slot and one for the session.
	if needed := r.Slots + 1; r.ConnectionShare() < needed {
		return errors.Wrapf(ErrInvalid, "row %s/%s: field connection_limit: %d, allowed: at least %d with slots %d",
			r.Service, r.Site, r.ConnectionLimit, needed*connectionShares, r.Slots)
	}
	return nil
}

// Validate checks a policy.
func (p *Policy) Validate() error {
	if err := explain(validate.Struct(p)); err != nil {
		return errors.Wrapf(err, "service %s", p.Service)
	}
	return nil
}

// explain turns the validator's first finding into field, value and rule.
func explain(err error) error {
	var findings validator.ValidationErrors
	if !errors.As(err, &findings) {
		return err
	}
	finding := findings[0]
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", finding.Field(), finding.Value(), allowed(finding))
}

func allowed(finding validator.FieldError) string {
	switch finding.Tag() {
	case "gte":
		return "at least " + finding.Param()
	case "lte":
		return "at most " + finding.Param()
	case "oneof":
		return "one of " + finding.Param()
	case "name":
		return "1 to 63 of a-z 0-9 . _ -, beginning with a letter or digit"
	default:
		return fmt.Sprintf("%s %s", finding.Tag(), finding.Param())
	}
}
