package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const valid = `
node: n1
zone: zone-1
listen: {callers: "127.0.0.1:0", nodes: "127.0.0.1:0", operators: "127.0.0.1:0"}
platform: {key_value: ["http://127.0.0.1:2379"], machines: "http://127.0.0.1:2380/machines"}
`

func TestValidSettings(t *testing.T) {
	parsed, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Group.LeaseMillis != Default().Group.LeaseMillis {
		t.Errorf("defaults were lost: %+v", parsed.Group)
	}
}

// TestInvalidSettings checks that errors name the field, the value and the allowed values.
func TestInvalidSettings(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"unknown field":    {valid + "speed: 3\n", []string{"speed"}},
		"missing node":     {strings.Replace(valid, "node: n1", "", 1), []string{"node", "required"}},
		"bad address":      {strings.Replace(valid, `callers: "127.0.0.1:0"`, `callers: "nowhere"`, 1), []string{"listen.callers", "nowhere"}},
		"range":            {valid + "group: {lease_millis: 7}\n", []string{"group.lease_millis", "7", "50"}},
		"related values":   {valid + "group: {lease_millis: 100, heartbeat_millis: 90}\n", []string{"group.lease_millis", "100", "90"}},
		"members":          {valid + "group: {members: 4}\n", []string{"group.members", "4", "1 3 5"}},
		"half of TLS":      {valid + "tls: {certificate: a.pem}\n", []string{"tls.key", "required"}},
		"not a log level":  {valid + "log_level: loud\n", []string{"log_level", "loud", "debug"}},
		"not YAML":         {"node: [", []string{"settings"}},
		"text for numbers": {valid + "limits: {body_kilobytes: many}\n", []string{"many"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not name %q", err, part)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("node: [")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse([]byte(text))
		if (parsed == nil) != errors.Is(err, ErrInvalid) {
			t.Errorf("settings %v with error %v", parsed, err)
		}
	})
}
