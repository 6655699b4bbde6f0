package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/platform"
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

// Guards against a soak in which the end of an evacuation or a restore undoes what servers have announced.
func TestServersKeepTheStateThatTheyAnnounced(t *testing.T) {
	w := &world{store: standin.NewStore(), ledger: standin.NewLedger(), evacuated: make(map[string][]span)}
	start := func(id string) *server {
		started := &server{Server: standin.NewServer(w.store, w.ledger, id, standin.PlainService, nil)}
		t.Cleanup(started.Stop)
		w.servers = append(w.servers, started)
		return started
	}
	draining, unannounced, ready := start("draining"), start("unannounced"), start("ready")
	endEvacuation := w.evacuate(standin.DefaultZone)
	w.drain(draining)
	unannounced.Forget()
	endEvacuation()
	checkColdEntries(t, w, map[string]discovery.State{draining.ID: discovery.Draining, ready.ID: discovery.Ready})
	for _, s := range w.servers {
		w.reannounce(s)
	}
	checkColdEntries(t, w, map[string]discovery.State{draining.ID: discovery.Draining, ready.ID: discovery.Ready})
	inWarmUp := time.Now().Add(standin.WarmUp / 2)
	if w.coldAt(unannounced, inWarmUp) || !w.coldAt(ready, inWarmUp) {
		t.Error("nodes have to know of a warm-up if and only if an entry announces it")
	}
}

// checkColdEntries checks that the store has one entry per given server, which announces the server's
// state and a warm-up.
func checkColdEntries(t *testing.T, w *world, states map[string]discovery.State) {
	t.Helper()
	items, _, err := w.store.List(t.Context(), "servers/")
	if err != nil {
		t.Fatal(err)
	}
	if len(items) != len(states) {
		t.Errorf("%d entries, want %d", len(items), len(states))
	}
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, "servers/")
		entry, err := platform.Documents{}.Server(id, item.Value)
		if err != nil {
			t.Fatal(err)
		}
		state, hasEntry := states[id]
		if !hasEntry || entry.State != state || entry.WarmUp <= 0 {
			t.Errorf("server %s is announced: state %v, warm-up %v; want an entry: %v, state %v, and a warm-up", id, entry.State, entry.WarmUp, hasEntry, state)
		}
	}
}
