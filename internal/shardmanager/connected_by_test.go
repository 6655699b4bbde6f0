package shardmanager

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// Guards against grants of a manager without its lock to a process that knows none of its successor's fences.
func TestManagerInDoubtOfItsLockUsesConnectionsFromBefore(t *testing.T) {
	const renewedAt = time.Minute
	now, agreedAt := renewedAt, time.Duration(0)
	manager := &Manager{config: Config{Clock: func() time.Duration { return now }}}
	term := &term{manager: manager, renewedAt: renewedAt}
	if by := term.connectedBy(); by <= now || by >= renewedAt+lockTTL {
		t.Errorf("connections must be open by %v while the lock is held, want a time before it ends at %v", by, renewedAt+lockTTL)
	}
	now = renewedAt + lockTTL
	if by := term.connectedBy(); by != renewedAt {
		t.Errorf("connections must be open by %v, want %v, the last renewal of the lock", by, renewedAt)
	}
	manager.config.AgreedAt = func() time.Duration { return agreedAt }
	if by := term.connectedBy(); by != renewedAt {
		t.Errorf("connections must be open by %v, want %v, since the other nodes have not agreed", by, renewedAt)
	}
	agreedAt = now - time.Second/2
	if by := term.connectedBy(); by != agreedAt {
		t.Errorf("connections must be open by %v, want %v, when the other nodes agreed", by, agreedAt)
	}
}

// Guards against a manager that steps down in an outage of the store because its grants wait for agreement.
func TestWithheldGrantsAreNoSignOfALostPath(t *testing.T) {
	var reached contact
	for _, server := range []discovery.ServerID{"a", "b", "c"} {
		reached.observe(2*contactTimeout, server, shards.Withheld)
	}
	if reached.lost(2 * contactTimeout) {
		t.Error("the path to servers counts as lost")
	}
}
