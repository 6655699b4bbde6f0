package poison

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Without the request's parts in the log, two suspects with different digests can't be compared.
func TestSuspectsAreLoggedWithTheirIdentity(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	guard := NewGuard("n1", func([]Suspect) {}, zap.New(core))
	guard.Lost("s1", Request{Service: "s", Method: "PUT", Host: "h", URI: "/" + strings.Repeat("x", maxLoggedURI), Tenant: "t", Key: "7", ClientAddress: "192.0.2.1", Body: []byte("abc")}, DuringResponse)
	guard.attributeCrash("s1")
	entries := logs.FilterMessage("request suspected of crashing servers").All()
	if len(entries) != 1 {
		t.Fatalf("%d lines about suspects, want 1", len(entries))
	}
	fields := entries[0].ContextMap()
	for name, want := range map[string]any{
		"point": "during the response", "service": "s", "method": "PUT", "host": "h", "uri": "/" + strings.Repeat("x", maxLoggedURI-1),
		"tenant": "t", "key": "7", "client": "192.0.2.1", "body_bytes": int64(3),
	} {
		if fields[name] != want {
			t.Errorf("%s is %v, want %v", name, fields[name], want)
		}
	}
}
