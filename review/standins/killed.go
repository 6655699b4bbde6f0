package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// killedManager kills the manager within a second of its first grant that gets no answer, while the
// server that carries out that grant late is cut off and leaves.
func killedManager(b *bed) (verdict, error) {
	const servers, lateBy = 8, 11500 * time.Millisecond
	b.store.write("op/config", []byte(fmt.Sprintf(keyedConfig, "")))
	divided, err := b.addServers(servers, "recetario", true, 20*time.Millisecond, "heredia", "alajuela", "cartago")
	if err != nil {
		return notRun, err
	}
	if err := b.startRouters("heredia", "alajuela", "cartago"); err != nil {
		return notRun, err
	}
	time.Sleep(10 * time.Second)
	if count := b.ledger.heldKeys(); count < keyCount {
		return notRun, fmt.Errorf("only %d of %d keys are held", count, keyCount)
	}
	if b.trouble {
		if err := b.killBehindLateGrant(divided[0], lateBy); err != nil {
			return notRun, err
		}
	} else {
		divided[0].drain()
	}
	time.Sleep(16 * time.Second)
	for _, text := range b.ledger.staleFences {
		b.record("OWNER: %s", text)
	}
	if len(b.ledger.staleFences) > 0 {
		return broken, nil
	}
	return held, nil
}

// killBehindLateGrant lets a server leave its next grants unanswered, kills the manager 0.9 s later, and
// cuts the server off from all machines for 9 s.
func (b *bed) killBehindLateGrant(s *server, lateBy time.Duration) error {
	manager := b.managerOf("recetario")
	if manager == nil {
		return fmt.Errorf("no router holds the lock")
	}
	s.mutex.Lock()
	s.lateOrders = lateBy
	s.mutex.Unlock()
	time.Sleep(900 * time.Millisecond)
	b.signal(manager, syscall.SIGKILL)
	b.record("server %s is cut off from all machines and leaves", s.id)
	s.cutOff()
	s.drain()
	<-manager.done
	time.Sleep(300 * time.Millisecond)
	if err := b.startRouter(manager, false); err != nil {
		return err
	}
	time.Sleep(8700 * time.Millisecond)
	s.mutex.Lock()
	s.lateOrders = 0
	s.mutex.Unlock()
	b.record("server %s is reached again", s.id)
	b.ledger.healed()
	return s.reconnect()
}

// managerOf returns the router whose entry holds the lock of a service.
func (b *bed) managerOf(service string) *router {
	var entry struct{ Name string }
	if json.Unmarshal([]byte(b.store.valueOf("micahaven/managers/"+service)), &entry) != nil {
		return nil
	}
	for _, r := range b.routers {
		if r.name == entry.Name {
			return r
		}
	}
	return nil
}

// drain makes the server say that it leaves.
func (s *server) drain() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.announce()
}
