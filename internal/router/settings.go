// Package router assembles a router node from the mirror of the store, the dispatcher, the
// ingress, the shard managers and the communication with other nodes.
package router

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/tenants"
)

// ErrInvalidSettings means that a settings file cannot be used. The message names
// the field, its value and what is allowed.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings is a router node's settings file.
type Settings struct {
	Node   string `yaml:"node"`
	Zone   string `yaml:"zone"`
	Listen struct {
		Clients string `yaml:"clients"`
		Ready   string `yaml:"ready"`
		Nodes   string `yaml:"nodes"`
		Metrics string `yaml:"metrics"`
	} `yaml:"listen"`
	// Seeds are addresses at which other nodes may be found.
	Seeds []string `yaml:"seeds"`
	Store struct {
		Address string `yaml:"address"`
		// ReadsPerSecond is how many reads a second the store accepts from all nodes together;
		// unknown if it is 0 or left out.
		ReadsPerSecond float64 `yaml:"reads_per_second"`
	} `yaml:"store"`
	// DrainMillis is how long a server may still get requests after it was announced as
	// leaving.
	DrainMillis int `yaml:"drain_millis"`
	// GraceMillis is the grace period within which the node has to stop.
	GraceMillis int `yaml:"grace_millis"`
	// EvacuationMillis is how long the servers of a zone may still get requests after the zone
	// was evacuated; if it is 0 or left out, DrainMillis applies.
	EvacuationMillis int `yaml:"evacuation_millis"`
	// WarmUp bounds the requests that may reach a server within a second while it warms up:
	// its warm-up rate times Over, plus Slack. If it is left out, the rate is the bound.
	WarmUp struct {
		Over  float64 `yaml:"over"`
		Slack float64 `yaml:"slack"`
	} `yaml:"warm_up"`
	Retry struct {
		Ratio         float64 `yaml:"ratio"`
		Slack         float64 `yaml:"slack"`
		WindowSeconds float64 `yaml:"window_seconds"`
	} `yaml:"retry"`
	// Quota is by how much a tenant may exceed its limit within any window. If it is left out,
	// a tenant may not exceed it at all, and each request asks the tenant's home.
	Quota struct {
		WindowSeconds float64 `yaml:"window_seconds"`
		Over          float64 `yaml:"over"`
		Slack         float64 `yaml:"slack"`
	} `yaml:"quota"`
	// Revocation is the policy of a node whose copy of the API keys is out of date, so that it
	// may miss revocations: if Strict is set, no key is accepted once the copy is too old to
	// put a revocation into force within Millis.
	Revocation struct {
		Strict bool `yaml:"strict"`
		Millis int  `yaml:"millis"`
	} `yaml:"revocation"`
	// ConfigurationMillis is the time within which a configuration change has to be in force.
	ConfigurationMillis int `yaml:"configuration_millis"`
	// MaxHoldMillis is the longest duration of a grant that servers accept.
	MaxHoldMillis int `yaml:"max_hold_millis"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `yaml:"memory_megabytes"`
	// ProcessorShare is the number of processors available to the process, possibly a
	// fraction; 1 if it is left out. Nodes with a larger share are preferred for duties such as
	// head or home.
	ProcessorShare float64 `yaml:"processor_share"`
	// LinkMegabits is the bandwidth of the machine's link in megabits per second; nil if it is
	// left out. It bounds how many copies of the store the node sends to others, and the rate
	// at which large responses are paced.
	LinkMegabits *float64 `yaml:"link_megabits"`
	// FirstStart is true if the whole system starts for the first time, when the store has no
	// record of the heads.
	FirstStart bool `yaml:"first_start"`
	// Homes is true if requests are routed through the homes of their servers.
	Homes bool `yaml:"homes"`
}

// Defaults of settings: a whole processor, and the slowest link of the users' deployments.
const (
	defaultProcessorShare = 1
	defaultLinkMegabits   = 20
)

// LoadSettings reads and validates a settings file. Unknown fields are ignored.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalidSettings)
	}
	return ParseSettings(text)
}

// ParseSettings decodes and validates the text of a settings file.
func ParseSettings(text []byte) (*Settings, error) {
	parsed := &Settings{ProcessorShare: defaultProcessorShare, ConfigurationMillis: defaultConfigurationMillis}
	if err := yaml.Unmarshal(text, parsed); err != nil {
		return nil, errors.Mark(errors.Newf("settings: %s", yaml.FormatError(err, false, true)), ErrInvalidSettings)
	}
	return parsed, parsed.check()
}

func (s *Settings) check() error {
	if s.Node == "" {
		return invalidSetting("node", s.Node, "not empty")
	}
	addresses := []struct {
		field, value string
		optional     bool
	}{
		{field: "listen.clients", value: s.Listen.Clients},
		{field: "listen.ready", value: s.Listen.Ready},
		{field: "listen.nodes", value: s.Listen.Nodes},
		{field: "listen.metrics", value: s.Listen.Metrics, optional: true},
		{field: "store.address", value: s.Store.Address},
	}
	for _, address := range addresses {
		if address.optional && address.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return invalidSetting(address.field, address.value, "IP:port")
		}
	}
	numbers := []struct {
		field     string
		value     float64
		low, high float64
	}{
		{"drain_millis", float64(s.DrainMillis), 1, 600000},
		{"grace_millis", float64(s.GraceMillis), 100, 600000},
		{"evacuation_millis", float64(s.EvacuationMillis), 0, 600000},
		{"warm_up.over", s.WarmUp.Over, 0, 1000},
		{"warm_up.slack", s.WarmUp.Slack, 0, 1e6},
		{"store.reads_per_second", s.Store.ReadsPerSecond, 0, 1e9},
		{"quota.window_seconds", s.Quota.WindowSeconds, 0, 3600},
		{"quota.over", s.Quota.Over, 0, 10},
		{"quota.slack", s.Quota.Slack, 0, 1e9},
		{"revocation.millis", float64(s.Revocation.Millis), 0, 600000},
		{"configuration_millis", float64(s.ConfigurationMillis), 0, 600000},
		{"retry.ratio", s.Retry.Ratio, 0, 10},
		{"retry.slack", s.Retry.Slack, 0, 1e9},
		{"retry.window_seconds", s.Retry.WindowSeconds, 0.1, 3600},
		{"max_hold_millis", float64(s.MaxHoldMillis), 500, 600000},
		{"memory_megabytes", float64(s.MemoryMegabytes), 16, 1 << 20},
		{"processor_share", s.ProcessorShare, 0.001, 1024},
		{"link_megabits", s.linkMegabits(), 0.1, 1e6},
	}
	for _, number := range numbers {
		if number.value < number.low || number.value > number.high {
			return invalidSetting(number.field, number.value, fmt.Sprintf("%g to %g", number.low, number.high))
		}
	}
	return nil
}

// linkBytes returns the bandwidth of the machine's link in bytes per second.
func (s *Settings) linkBytes() float64 {
	const bytesPerMegabit = 1e6 / 8
	return s.linkMegabits() * bytesPerMegabit
}

func (s *Settings) linkMegabits() float64 {
	if s.LinkMegabits == nil {
		return defaultLinkMegabits
	}
	return *s.LinkMegabits
}

func invalidSetting(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalidSettings, "field %s: %v, allowed: %s", field, value, allowed)
}

// strictFraction is the fraction of the time within which a revoked key must be out of use. A
// node whose copy is older than that accepts no key; the rest of the time is for requests in
// flight.
const strictFraction = 0.8

const (
	// unknownFraction is the fraction of the time that a configuration change may take. A node
	// whose copy is older than that may lack keys that are in force, and watches the store itself
	// by then.
	unknownFraction = 0.8
	// defaultConfigurationMillis is the default of ConfigurationMillis.
	defaultConfigurationMillis = 2500
)

// staleness returns the ages of the copy from which unknown keys, and with a strict policy all
// keys, can no longer be judged.
func (s *Settings) staleness() tenants.Staleness {
	staleness := tenants.Staleness{UnknownAfter: time.Duration(unknownFraction * float64(s.ConfigurationMillis) * float64(time.Millisecond))}
	if s.Revocation.Strict {
		staleness.RevokedAfter = time.Duration(strictFraction * float64(s.Revocation.Millis) * float64(time.Millisecond))
	}
	return staleness
}

// maxCopyAge returns the age that the copy of the store may reach before the node watches the store
// itself: from then on it could not judge some requests.
func (s *Settings) maxCopyAge() time.Duration {
	staleness := s.staleness()
	if staleness.RevokedAfter > 0 {
		return min(staleness.UnknownAfter, staleness.RevokedAfter)
	}
	return staleness.UnknownAfter
}

// tolerance returns by how much tenants may exceed their limits.
func (s *Settings) tolerance() quota.Tolerance {
	return quota.Tolerance{
		Window: time.Duration(s.Quota.WindowSeconds * float64(time.Second)), Over: s.Quota.Over, Slack: s.Quota.Slack,
	}
}

func (s *Settings) grace() time.Duration { return time.Duration(s.GraceMillis) * time.Millisecond }

func (s *Settings) evacuation() time.Duration {
	return time.Duration(s.EvacuationMillis) * time.Millisecond
}

func (s *Settings) drain() time.Duration { return time.Duration(s.DrainMillis) * time.Millisecond }
