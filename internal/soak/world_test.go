package soak

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

// Guards against a configuration that counts as acknowledged when the one before it was.
func TestConfigurationIsDueOnlyOnceAcknowledged(t *testing.T) {
	const versions = 200
	w := &world{store: standin.NewStore()}
	w.configure()
	for version := 2; version <= versions; version++ {
		startedAt := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.configure()
		}()
		for {
			current, acknowledged, known := w.configuration()
			if current == version && known {
				if acknowledged.Before(startedAt) {
					t.Fatalf("version %d counts as acknowledged before it was written", version)
				}
				break
			}
		}
		<-done
	}
}
