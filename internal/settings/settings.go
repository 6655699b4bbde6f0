// Package settings reads and validates a node's settings file.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/replication"
)

// Settings is the whole file.
type Settings struct {
	Node     identity.NodeID `yaml:"node" validate:"required,max=63"`
	Zone     string          `yaml:"zone" validate:"required,max=63"`
	Listen   Listen          `yaml:"listen"`
	Platform Platform        `yaml:"platform"`
	Group    Group           `yaml:"group"`
	Limits   Limits          `yaml:"limits"`
	TLS      TLS             `yaml:"tls"`
	Operator Operator        `yaml:"operators"`
	LogLevel string          `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Listen holds the addresses the node accepts connections on, as IP:port.
type Listen struct {
	Callers   string `yaml:"callers" validate:"required,hostname_port|tcp_addr"`
	Nodes     string `yaml:"nodes" validate:"required,hostname_port|tcp_addr"`
	Operators string `yaml:"operators" validate:"required,hostname_port|tcp_addr"`
	// Advertise is the address that other nodes use, if not that of Nodes.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port|tcp_addr"`
}

// Platform holds the addresses of the platform's services and the limits for using them.
type Platform struct {
	KeyValue       []string `yaml:"key_value" validate:"required,min=1,dive,url"`
	Machines       string   `yaml:"machines" validate:"required,url"`
	CallsPerSecond float64  `yaml:"calls_per_second" validate:"gt=0,lte=10000"`
	// MachineLagMillis is how far the machine list may lag behind, in milliseconds.
	MachineLagMillis int `yaml:"machine_lag_millis" validate:"gte=100,lte=600000"`
}

// Group holds the durations and sizes of the ownership protocol.
type Group struct {
	Members              int `yaml:"members" validate:"oneof=1 3 5"`
	HeartbeatMillis      int `yaml:"heartbeat_millis" validate:"gte=5,lte=10000"`
	LeaseMillis          int `yaml:"lease_millis" validate:"gte=50,lte=60000"`
	ElectionSpreadMillis int `yaml:"election_spread_millis" validate:"gte=10,lte=10000"`
	SessionMillis        int `yaml:"session_millis" validate:"gte=50,lte=60000"`
	RenewMillis          int `yaml:"renew_millis" validate:"gte=10,lte=20000"`
	CallTimeoutMillis    int `yaml:"call_timeout_millis" validate:"gte=10,lte=20000"`
	JournalSeconds       int `yaml:"journal_seconds" validate:"gte=1,lte=86400"`
	JournalMegabytes     int `yaml:"journal_megabytes" validate:"gte=1,lte=32"`
	MovesPerServer       int `yaml:"moves_per_server" validate:"gte=1,lte=1000"`
}

// Limits bounds the size of requests and responses and the number of workers.
type Limits struct {
	BodyKilobytes   int `yaml:"body_kilobytes" validate:"gte=1,lte=16384"`
	AnswerKilobytes int `yaml:"answer_kilobytes" validate:"gte=1,lte=16384"`
	RequestWorkers  int `yaml:"request_workers" validate:"gte=1,lte=100000"`
	SessionWorkers  int `yaml:"session_workers" validate:"gte=1,lte=10000"`
}

// TLS names certificate files. Without them, connections are not encrypted.
type TLS struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key Authority"`
	Key         string `yaml:"key" validate:"required_with=Certificate Authority"`
	Authority   string `yaml:"authority" validate:"required_with=Certificate Key"`
}

// Operator configures the authentication of operators.
type Operator struct {
	// TokenFile is the path of a file with one "name:token" per line. Without it every change
	// is rejected unless AllowAnonymous is set.
	TokenFile      string `yaml:"token_file"`
	AllowAnonymous bool   `yaml:"allow_anonymous"`
}

// Default returns the default settings, which a file overrides.
func Default() Settings {
	return Settings{
		Platform: Platform{CallsPerSecond: 20, MachineLagMillis: 5000},
		Group: Group{
			Members:              3,
			HeartbeatMillis:      100,
			LeaseMillis:          300,
			ElectionSpreadMillis: 100,
			SessionMillis:        450,
			RenewMillis:          150,
			CallTimeoutMillis:    150,
			JournalSeconds:       600,
			JournalMegabytes:     16,
			MovesPerServer:       4,
		},
		Limits: Limits{
			BodyKilobytes:   1024,
			AnswerKilobytes: 1024,
			RequestWorkers:  512,
			SessionWorkers:  64,
		},
		LogLevel: "info",
	}
}

// ErrInvalid means that a settings file cannot be used. The message names the field, its value
// and the allowed values.
var ErrInvalid = errors.New("invalid settings")

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalid)
	}
	return Parse(text)
}

// Parse decodes and validates the text of a settings file. Unknown fields are rejected.
func Parse(text []byte) (*Settings, error) {
	parsed := Default()
	if err := yaml.UnmarshalWithOptions(text, &parsed, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Newf("settings: %s", yaml.FormatError(err, false, true)), ErrInvalid)
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	return &parsed, nil
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

// Validate checks each field, and that fields that depend on each other are consistent.
func (s *Settings) Validate() error {
	var findings validator.ValidationErrors
	if err := validate.Struct(s); errors.As(err, &findings) {
		finding := findings[0]
		_, field, _ := strings.Cut(finding.Namespace(), ".")
		return invalid(field, finding.Value(), strings.TrimSpace(finding.Tag()+" "+finding.Param()))
	}
	group := s.Group
	if group.LeaseMillis < 3*group.HeartbeatMillis {
		return invalid("group.lease_millis", group.LeaseMillis,
			fmt.Sprintf("at least 3 times heartbeat_millis, which is %d", group.HeartbeatMillis))
	}
	if group.SessionMillis < 3*group.RenewMillis {
		return invalid("group.session_millis", group.SessionMillis,
			fmt.Sprintf("at least 3 times renew_millis, which is %d", group.RenewMillis))
	}
	return nil
}

func invalid(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: %v, allowed: %s", field, value, allowed)
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// Timing returns the durations that package replication needs.
func (g *Group) Timing() replication.Timing {
	return replication.Timing{
		Heartbeat:      milliseconds(g.HeartbeatMillis),
		Lease:          milliseconds(g.LeaseMillis),
		ElectionSpread: milliseconds(g.ElectionSpreadMillis),
	}
}

const (
	callRetryInterval = 30 * time.Millisecond
	holdTimeout       = 2 * time.Second
	rebalanceInterval = 10 * time.Second
)

// Ownership returns the options for package ownership.
func (g *Group) Ownership() ownership.Options {
	return ownership.Options{
		SessionTTL:        milliseconds(g.SessionMillis),
		RenewInterval:     milliseconds(g.RenewMillis),
		CallTimeout:       milliseconds(g.CallTimeoutMillis),
		RetryInterval:     callRetryInterval,
		HoldTimeout:       holdTimeout,
		MovesPerServer:    g.MovesPerServer,
		RebalanceInterval: rebalanceInterval,
	}
}
