package main

import (
	"fmt"
	"time"
)

// maxSharedHold is how long two servers may hold the same keys.
const maxSharedHold = 500 * time.Millisecond

// keyedConfig is a configuration with one service that is divided by key.
const keyedConfig = `{"Version":1,"BaseVersion":0,"Resources":[
{"EntryKind":"Routes","Metadata":{"Name":"r-lookup"},"Spec":{"Host":"counter.example","PathPrefix":"/lookup/","Type":"safe","TimeoutMs":1000,"TargetMs":500,"Prio":2,"Service":"recetario","MaxAttempts":2}},
{"EntryKind":"Services","Metadata":{"Name":"recetario"},"Spec":{"HealthPath":"/healthz","MaxConns":110,"Proto":"h1","Tls":false,%s"Sharded":true,"WarmS":2.0,"Grants":"invoke"}},
{"EntryKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}`

// restartedServer partitions a server of a divided service from the store for a moment. Requests and
// orders still reach it. It crashes behind the cut and starts again under its id and at its address. Its
// next heartbeat after the cut tells the store of the new start.
func restartedServer(b *bed) (verdict, error) {
	const servers, rounds = 6, 3
	b.store.write("op/config", []byte(fmt.Sprintf(keyedConfig, `"WarmupS":3.0,"WarmupPerS":4.8,`)))
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
		if b.trouble {
			if err := b.restartBehindCut(divided[round]); err != nil {
				return notRun, err
			}
		}
		time.Sleep(12 * time.Second)
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

// restartBehindCut partitions a server from the store for 1.6 s, in which it crashes and starts again.
func (b *bed) restartBehindCut(s *server) error {
	b.record("server %s is partitioned from the store", s.id)
	s.setReachesStore(false)
	time.Sleep(100 * time.Millisecond)
	b.record("server %s crashes", s.id)
	s.crash()
	time.Sleep(200 * time.Millisecond)
	b.record("server %s starts again", s.id)
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(1300 * time.Millisecond)
	b.record("server %s reaches the store again", s.id)
	b.ledger.healed()
	s.setReachesStore(true)
	return nil
}
