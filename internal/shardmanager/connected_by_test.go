package shardmanager

import (
	"testing"
	"time"
)

// Guards against a manager that has lost its lock unawares and grants keys over a connection to a process
// that started after its successor had moved them.
func TestManagerInDoubtOfItsLockUsesConnectionsFromBefore(t *testing.T) {
	const renewedAt = time.Minute
	now, agreedAt := renewedAt, time.Duration(0)
	manager := &Manager{config: Config{Clock: func() time.Duration { return now }}}
	term := &term{manager: manager, renewedAt: renewedAt}
	if by := term.connectedBy(); by != 0 {
		t.Errorf("connections must be open by %v while the lock is held", by)
	}
	now = renewedAt + lockTTL
	if by := term.connectedBy(); by != renewedAt {
		t.Errorf("connections must be open by %v, want %v, the last renewal of the lock", by, renewedAt)
	}
	manager.config.AgreedAt = func() time.Duration { return agreedAt }
	if by := term.connectedBy(); by != renewedAt {
		t.Errorf("connections must be open by %v, want %v, since no other node has agreed", by, renewedAt)
	}
	agreedAt = now - time.Second/2
	if by := term.connectedBy(); by != agreedAt {
		t.Errorf("connections must be open by %v, want %v, when another node agreed", by, agreedAt)
	}
}
