package router

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// agreementAfterTheLoss reports whether n1 has agreement from after the loss of the store, given the names
// of the registered nodes. Only n1 and n2 run.
func agreementAfterTheLoss(t *testing.T, registered ...string) bool {
	t.Helper()
	store := storeWith(10)
	asking, companion := newCopyNode(t, store, "n1"), newCopyNode(t, store, "n2")
	nodes := map[string]view.Node{"n1": asking.self, "n2": companion.self, "n3": {Name: "n3", Zone: "z1", Address: "127.0.0.1:1", Process: "n3"}}
	for _, name := range registered {
		value, err := json.Marshal(nodes[name])
		if err != nil {
			t.Fatal(err)
		}
		store.Write(view.NodeKey(name), value)
	}
	asking.run(t)
	companion.run(t)
	store.SetFaults(memory.Faults{Down: true})
	time.Sleep(100 * time.Millisecond)
	lostAt := clock.Boot()
	for range 5 {
		time.Sleep(10 * time.Millisecond)
		asking.askForAgreement(t.Context())
	}
	return asking.lastAgreement() > lostAt
}

// Guards against a manager that takes a node without the store for proof that no other one has succeeded it.
func TestAgreementNeedsEveryRegisteredNode(t *testing.T) {
	if agreementAfterTheLoss(t, "n1", "n2", "n3") {
		t.Error("there is agreement although n3, which may have succeeded this node, has not answered")
	}
}

// Guards against keys that lapse in an outage that all nodes share.
func TestNodesThatAllLostTheStoreAgree(t *testing.T) {
	if !agreementAfterTheLoss(t, "n1", "n2") {
		t.Error("there is no agreement although all nodes have answered")
	}
}

// Guards against keys that lapse in an outage because there is no other node to ask.
func TestLoneNodeAgreesWithItself(t *testing.T) {
	if !agreementAfterTheLoss(t, "n1") {
		t.Error("there is no agreement although there is no other node")
	}
}

// Guards against an answer whose copy is older than the question.
func TestConfirmedAnswerOfOneNodeIsAgreementSinceItsConfirmation(t *testing.T) {
	var said agreement
	const askedAt, age = time.Minute, 1500
	said.record("n2", askedAt, &wire.StateReply{Confirmed: true, ConfirmedAgeMillis: age})
	if agreedAt, want := said.want(askedAt+time.Second, []string{"n2", "n3"}), askedAt-age*time.Millisecond; agreedAt != want {
		t.Errorf("agreement since %v, want %v", agreedAt, want)
	}
	said.record("n3", askedAt+time.Second/2, &wire.StateReply{})
	if agreedAt := said.want(askedAt+time.Second, []string{"n2", "n3"}); agreedAt != askedAt {
		t.Errorf("agreement since %v, want %v, when the first of all nodes was asked", agreedAt, askedAt)
	}
}
