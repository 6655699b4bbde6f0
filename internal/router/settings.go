// Package router joins the parts of a router node: the mirror of the store, the
// dispatcher, the ingress, the managers of keys and the exchange with other nodes.
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
		// ReadsPerSecond is how many reads the store takes from all nodes together; 0 or
		// left out: not known.
		ReadsPerSecond float64 `yaml:"reads_per_second"`
	} `yaml:"store"`
	// DrainMillis is how long after a server was announced as leaving it may
	// still get requests.
	DrainMillis int `yaml:"drain_millis"`
	// GraceMillis is how long the node may take to stop.
	GraceMillis int `yaml:"grace_millis"`
	// EvacuationMillis is how long after a zone was evacuated its servers may still get
	// requests; 0 or left out: as long as a server that leaves.
	EvacuationMillis int `yaml:"evacuation_millis"`
	// WarmUp bounds what may reach a server that warms up within a second: its rate times
	// Over, and Slack more. Left out, the rate is the bound.
	WarmUp struct {
		Over  float64 `yaml:"over"`
		Slack float64 `yaml:"slack"`
	} `yaml:"warm_up"`
	Retry struct {
		Ratio         float64 `yaml:"ratio"`
		Slack         float64 `yaml:"slack"`
		WindowSeconds float64 `yaml:"window_seconds"`
	} `yaml:"retry"`
	// Quota is by how much the use of a tenant may exceed its limit within any window; left
	// out: not at all, and each request asks the tenant's home.
	Quota struct {
		WindowSeconds float64 `yaml:"window_seconds"`
		Over          float64 `yaml:"over"`
		Slack         float64 `yaml:"slack"`
	} `yaml:"quota"`
	// Revocation is what a node does that does not hear whether keys were taken away: if it
	// is Strict, it lets nobody in by a key once it has heard nothing for Millis.
	Revocation struct {
		Strict bool `yaml:"strict"`
		Millis int  `yaml:"millis"`
	} `yaml:"revocation"`
	// ConfigurationMillis is how long a change of the configuration may take to be in force.
	ConfigurationMillis int `yaml:"configuration_millis"`
	// MaxHoldMillis is the longest grant that servers take.
	MaxHoldMillis int `yaml:"max_hold_millis"`
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int `yaml:"memory_megabytes"`
	// ProcessorShare is the part of a processor that the process has; 1 if it is
	// left out. Nodes with more of it are preferred for duties.
	ProcessorShare float64 `yaml:"processor_share"`
	// LinkMegabits is what the machine's link carries in a second; nil if it is left out.
	// It bounds how many copies of the store the node gives to others, and is what large
	// answers are paced by.
	LinkMegabits *float64 `yaml:"link_megabits"`
	// FirstStart is true if the whole system starts for the first time: the store has
	// no record of the heads then.
	FirstStart bool `yaml:"first_start"`
	// Homes is true if requests go through the homes of their servers.
	Homes bool `yaml:"homes"`
}

// Values that stand for settings that are left out: a whole processor, and the slowest
// link of the users' deployments.
const (
	defaultProcessorShare = 1
	defaultLinkMegabits   = 20
)

// LoadSettings reads and checks a settings file. Unknown fields are skipped.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read settings"), ErrInvalidSettings)
	}
	return ParseSettings(text)
}

// ParseSettings reads and checks the text of a settings file.
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

// linkBytes is how many bytes the machine's link carries in a second.
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

// strictPart is the part of the time in which a key must be out of use after which a node
// that hears nothing lets nobody in by a key; the rest is for requests on their way.
const strictPart = 0.8

const (
	// unknownPart is the part of the time that a change may take after which a node that
	// hears nothing may lack keys that are in force; a copy in steady state is 1.35 s old at
	// most.
	unknownPart = 0.8
	// defaultConfigurationMillis stands for the time that a change may take if it is left
	// out.
	defaultConfigurationMillis = 2500
)

// staleness returns what a node does with keys that has had no news.
func (s *Settings) staleness() tenants.Staleness {
	staleness := tenants.Staleness{UnknownAfter: time.Duration(unknownPart * float64(s.ConfigurationMillis) * float64(time.Millisecond))}
	if s.Revocation.Strict {
		staleness.RevokedAfter = time.Duration(strictPart * float64(s.Revocation.Millis) * float64(time.Millisecond))
	}
	return staleness
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
