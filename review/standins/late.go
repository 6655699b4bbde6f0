package main

import (
	"fmt"
	"time"
)

const (
	// lateWindow is how long the server leaves orders unanswered: two disruptions of 5.5 s, one right after
	// the other. lateBy is how late it carries them out.
	lateWindow, lateBy = 2 * 5500 * time.Millisecond, 10 * time.Second
	// lateClose is when it closes the connection of an order without an answer.
	lateClose = 300 * time.Millisecond
	// beforeLeaving is how long after the start of lateWindow the server says that it leaves.
	beforeLeaving = 1500 * time.Millisecond
)

// lateOrders lets a server that is about to leave carry out the orders of 11 s late, one after the other,
// without an answer.
func lateOrders(b *bed) (verdict, error) {
	const servers = 24
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
	b.leaveLate(divided[0])
	time.Sleep(12 * time.Second)
	unanswered, all := b.ledger.orderCounts()
	b.record("%d of %d orders of these %v were left unanswered", unanswered, all, lateWindow)
	for _, text := range b.ledger.staleFences {
		b.record("OWNER: %s", text)
	}
	if len(b.ledger.staleFences) > 0 {
		return broken, nil
	}
	return held, nil
}

// leaveLate lets a server leave orders unanswered for lateWindow and say shortly after its start that it
// leaves.
func (b *bed) leaveLate(s *server) {
	b.ledger.countOrders(true)
	defer b.ledger.countOrders(false)
	if b.trouble {
		s.setLate(lateBy, lateClose)
		time.Sleep(beforeLeaving)
	}
	b.record("server %s says that it leaves", s.id)
	s.drain()
	time.Sleep(lateWindow - beforeLeaving)
	s.setLate(0, 0)
}

func (s *server) setLate(by, closeAfter time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lateOrders, s.closeOrders = by, closeAfter
}
