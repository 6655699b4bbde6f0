package feed

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

// This file passes changes and confirmations on to the nodes that follow this one.

// Followers returns the addresses of the nodes that follow this one.
func (f *Feed) Followers() []string {
	addresses := make([]string, 0, len(f.followers))
	for address := range f.followers {
		addresses = append(addresses, address)
	}
	return addresses
}

// withoutValues returns a batch without the values for which there are deltas.
func withoutValues(batch topo.Batch) topo.Batch {
	stripped := batch
	stripped.Events = append([]topo.Event(nil), batch.Events...)
	for index := range stripped.Events {
		if stripped.Events[index].Delta != nil {
			stripped.Events[index].Value = nil
		}
	}
	return stripped
}

// size returns how many bytes of the log a batch takes.
func size(batch topo.Batch) int {
	bytes := 0
	for _, event := range batch.Events {
		bytes += changeBytes
		if event.Delta != nil {
			bytes += len(event.Delta)
			continue
		}
		bytes += len(event.Value)
	}
	return bytes
}

// passOn appends the changes that a follower has not been sent yet.
func (f *Feed) passOn(messages []Message, address string) []Message {
	known := f.followers[address]
	for _, batch := range f.log {
		if batch.Revision <= known.sent {
			continue
		}
		if batch.After > known.sent || batch.CrossesEras() && batch.After != known.sent {
			// The follower is too far behind, or has changes that are lost in the new era; it
			// will find out by its lag.
			return messages
		}
		missing := newerThan(batch, known.sent)
		messages = append(messages, Message{To: address, Batch: &missing})
		known.sent = batch.Revision
	}
	return messages
}

// newerThan returns the part of a batch that a copy at a revision lacks.
func newerThan(batch topo.Batch, revision int64) topo.Batch {
	if batch.After == revision {
		return batch
	}
	missing := topo.Batch{After: max(batch.After, revision), Revision: batch.Revision}
	for _, event := range batch.Events {
		if event.Revision > revision {
			missing.Events = append(missing.Events, event)
		}
	}
	return missing
}

// serves reports whether this node passes changes on. Besides the heads and those that
// watch the store, each node with a new copy does: while many nodes register at once,
// they do not agree yet on who the heads are.
func (f *Feed) serves(now time.Duration) bool {
	return f.head || f.Watching(now) || f.confirmedAge(now) <= switchAge
}

func (f *Feed) stepFollow(now time.Duration, from string, ask *Follow) []Message {
	if !f.serves(now) {
		return nil
	}
	known := f.followers[from]
	if known == nil {
		known = &follower{beatAt: now}
		f.followers[from] = known
	}
	known.askedAt = now
	known.sent = ask.Revision
	messages := f.passOn(nil, from)
	return f.beat(messages, now, from)
}

// beat appends a heartbeat if one is due.
func (f *Feed) beat(messages []Message, now time.Duration, address string) []Message {
	known := f.followers[address]
	age, confirmed := f.toldAge(now, address)
	if now < known.beatAt || !confirmed {
		return messages
	}
	known.beatAt = now + heartbeatInterval
	return append(messages, Message{To: address, Heartbeat: &Heartbeat{Revision: f.revision, ConfirmedAge: age}})
}

// toldAge is the age of the confirmation that a follower is told.
func (f *Feed) toldAge(now time.Duration, address string) (time.Duration, bool) {
	toHead := slices.ContainsFunc(f.heads, func(head Member) bool { return head.Address == address })
	if toHead {
		return now - f.passedAt, f.passes
	}
	return f.ConfirmedAge(now)
}
