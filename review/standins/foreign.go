package main

import (
	"fmt"
	"time"
)

// foreignEntry partitions a server of a divided service from the store for 5 s. Requests and orders
// still reach it. Another writer has an entry in the store that names the server's address under a
// service that the configuration doesn't name. With TROUBLE=0 the cuts stay and that entry is left out.
func foreignEntry(b *bed) (verdict, error) {
	const servers, rounds, cutTime = 6, 2, 5 * time.Second
	b.store.write("op/config", []byte(fmt.Sprintf(keyedConfig, "")))
	divided, err := b.addServers(servers, "recetario", true, 20*time.Millisecond, "heredia", "alajuela", "cartago")
	if err != nil {
		return notRun, err
	}
	if err := b.startRouters("heredia", "alajuela", "cartago"); err != nil {
		return notRun, err
	}
	stopLoad := make(chan struct{})
	wait := b.load("/lookup/1", 60, stopLoad)
	time.Sleep(8 * time.Second)
	if count := b.ledger.heldKeys(); count < keyCount {
		return notRun, fmt.Errorf("only %d of %d keys are held", count, keyCount)
	}
	for round := range rounds {
		s := divided[round]
		if b.trouble {
			entry := fmt.Sprintf(`{"Addr":%q,"Info":{"Service":"inventory","Version":"7","Zone":%q,"Slots":1},"Status":{"State":"ready","Seq":1,"WarmupLeftMs":0}}`, s.address, s.zone)
			b.store.write(fmt.Sprintf("servers/agent-%d", round+1), []byte(entry))
			b.record("another writer's entry: %s", entry)
		}
		time.Sleep(2 * time.Second)
		b.record("server %s (%s) is partitioned from the store", s.id, s.address)
		s.setReachesStore(false)
		time.Sleep(cutTime)
		b.record("server %s reaches the store again", s.id)
		s.setReachesStore(true)
		b.ledger.healed()
		time.Sleep(6 * time.Second)
	}
	close(stopLoad)
	wait()
	found := b.ledger.overlaps(maxSharedHold)
	for _, o := range found {
		b.record("OWNER: %s", o.describe(b.began))
	}
	if len(found) > 0 {
		return broken, nil
	}
	return held, nil
}
