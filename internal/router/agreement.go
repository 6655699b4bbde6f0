package router

import (
	"context"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// agreementInterval is the pause between two rounds of questions to the other nodes, and
	// agreementWanted how long they go on after agreement was last needed.
	agreementInterval = 250 * time.Millisecond
	agreementWanted   = 2 * time.Second
	// maxAgreementNodes is the number of other nodes up to which all of them are asked.
	maxAgreementNodes = 128
)

// agreement records when the other nodes last had nothing newer than this one. A node that has become
// a manager has its own lock in its copy, so one that has nothing newer is none. Times are readings of
// clock.Boot.
type agreement struct {
	mutex sync.Mutex
	// wantedAt is when agreement was last needed.
	wantedAt time.Duration
	// answers holds, by node, when it was last asked and had nothing newer.
	answers map[string]time.Duration
	// confirmedAt is when the store is known to have had nothing newer, according to another node.
	confirmedAt time.Duration
}

// record records the answer of a node with nothing newer, asked at the given time.
func (a *agreement) record(node string, askedAt time.Duration, answer *wire.StateReply) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.answers == nil {
		a.answers = make(map[string]time.Duration)
	}
	a.answers[node] = askedAt
	if answer.GetConfirmed() {
		a.confirmedAt = max(a.confirmedAt, askedAt-time.Duration(answer.GetConfirmedAgeMillis())*time.Millisecond)
	}
}

// want notes that agreement is needed, and returns the latest time at which the store, or each of the
// given nodes, had nothing newer.
func (a *agreement) want(now time.Duration, nodes []string) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.wantedAt = now
	agreedAt := now
	for _, node := range nodes {
		agreedAt = min(agreedAt, a.answers[node])
	}
	return max(agreedAt, a.confirmedAt)
}

// isWanted reports whether agreement was needed recently.
func (a *agreement) isWanted(now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.wantedAt > 0 && now-a.wantedAt < agreementWanted
}

// lastAgreement returns the latest time, on clock.Boot, at which no other node can have been a manager
// that this node does not know of: the store had nothing newer, or each registered node had nothing
// newer. It returns 0 if there is none. Nodes that have registered since this node lost the store are
// not known to it.
func (p *peers) lastAgreement() time.Duration {
	now, registered := clock.Boot(), p.views.Current().Nodes
	var others []string
	for name := range registered.All() {
		if name != p.self.Name {
			others = append(others, name)
		}
	}
	agreedAt := p.agreement.want(now, others)
	if registered.Len() == 0 {
		agreedAt = 0
	}
	if age, confirmed := p.feed.confirmedAge(); confirmed {
		agreedAt = max(agreedAt, now-age)
	}
	return agreedAt
}

// seekAgreement asks all other nodes for their revisions while a manager of this node is in doubt of
// its lock, until the context ends.
func (p *peers) seekAgreement(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.agreement.isWanted(clock.Boot()) {
			p.askForAgreement(ctx)
		}
		periodic.Pause(ctx, agreementInterval)
	}
	return nil
}

func (p *peers) askForAgreement(ctx context.Context) {
	var asked sync.WaitGroup
	defer asked.Wait()
	nodes := p.views.Current().Nodes
	if nodes.Len() > maxAgreementNodes {
		return
	}
	for name, node := range nodes.All() {
		if name == p.self.Name {
			continue
		}
		asked.Go(func() {
			askedAt := clock.Boot()
			if answer := p.requestState(ctx, node.Address); answer != nil && answer.GetRevision() <= p.mirror.Revision() {
				p.agreement.record(name, askedAt, answer)
			}
		})
	}
}
