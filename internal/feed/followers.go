package feed

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

// This file sends changes and confirmations to the nodes that follow this one.

// Followers returns the addresses of the nodes that follow this one.
func (f *Feed) Followers() []string {
	addresses := make([]string, 0, len(f.followers))
	for address := range f.followers {
		addresses = append(addresses, address)
	}
	return addresses
}

// withoutValues returns a copy of a batch without the values of the events that have deltas.
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

// batchSize returns how many bytes a batch counts in the log.
func batchSize(batch topo.Batch) int {
	bytes := 0
	for _, event := range batch.Events {
		bytes += changeOverheadBytes
		if event.Delta != nil {
			bytes += len(event.Delta)
			continue
		}
		bytes += len(event.Value)
	}
	return bytes
}

// appendUnsent appends the changes that a follower has not been sent yet, in one message unless a
// batch needs an exact copy.
func (f *Feed) appendUnsent(messages []Message, address string) []Message {
	known := f.followers[address]
	var unsent *topo.Batch
	for _, batch := range f.log {
		if batch.Revision <= known.sentRevision {
			continue
		}
		if batch.After > known.sentRevision || batch.NeedsExactCopy() && batch.After != known.sentRevision {
			// The follower is too far behind, or its copy is not the one that the batch needs. It
			// detects that itself, because it lags behind the revision in the heartbeats.
			return messages
		}
		missing := changesAfter(batch, known.sentRevision)
		known.sentRevision = batch.Revision
		if unsent != nil && !unsent.NeedsExactCopy() && !missing.NeedsExactCopy() {
			unsent.Revision = missing.Revision
			unsent.Events = append(unsent.Events, missing.Events...)
			continue
		}
		unsent = &topo.Batch{After: missing.After, Revision: missing.Revision, Events: slices.Clip(missing.Events), Difference: missing.Difference}
		messages = append(messages, Message{To: address, Batch: unsent})
	}
	return messages
}

// changesAfter returns the part of a batch that a copy at the given revision lacks.
func changesAfter(batch topo.Batch, revision int64) topo.Batch {
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

// servesFollowers reports whether this node accepts followers. Besides the heads and the nodes that
// watch the store, every node with a recently confirmed copy does: while many nodes register at
// once, they do not agree yet on which nodes are heads.
func (f *Feed) servesFollowers(now time.Duration) bool {
	return f.head || f.Watching(now) || f.confirmedAge(now) <= switchAge
}

func (f *Feed) handleFollow(now time.Duration, from string, request *Follow) []Message {
	if !f.servesFollowers(now) {
		return nil
	}
	known := f.followers[from]
	if known == nil {
		known = &follower{nextHeartbeatAt: now}
		f.followers[from] = known
	}
	known.lastRequestAt = now
	known.confirmedRevision = request.Revision
	if request.Request == 0 || request.Request != known.request {
		known.request = request.Request
		known.sentRevision = request.Revision
		// The heartbeat after the changes shows the follower that it has been sent all of them.
		known.nextHeartbeatAt = now
	}
	f.trimLog()
	messages := f.appendUnsent(nil, from)
	return f.appendDueHeartbeat(messages, now, from)
}

// trimLog drops the oldest changes that need not be kept for followers that missed some.
func (f *Feed) trimLog() {
	for len(f.log) > 1 && f.logBytes > maxLogBytes && (f.logBytes > maxUnconfirmedLogBytes || f.confirmedByFollowers(f.log[0])) {
		f.logBytes -= batchSize(f.log[0])
		f.log = f.log[1:]
	}
}

// confirmedByFollowers reports whether all followers are known to have a batch.
func (f *Feed) confirmedByFollowers(batch topo.Batch) bool {
	for _, known := range f.followers {
		if known.confirmedRevision < batch.Revision {
			return false
		}
	}
	return true
}

// appendDueHeartbeat appends a heartbeat to a follower if one is due.
func (f *Feed) appendDueHeartbeat(messages []Message, now time.Duration, address string) []Message {
	known := f.followers[address]
	age, confirmed := f.advertisedAge(now, address)
	if now < known.nextHeartbeatAt || !confirmed {
		return messages
	}
	known.nextHeartbeatAt = now + heartbeatInterval
	return append(messages, Message{To: address, Heartbeat: &Heartbeat{Revision: f.revision, ConfirmedAge: age, Request: known.request}})
}

// heartbeatsBefore returns heartbeats to all followers if a batch that is about to be sent to them
// delays the next ones.
func (f *Feed) heartbeatsBefore(now time.Duration, batch topo.Batch) []Message {
	if batchSize(batch) < largeBatchBytes {
		return nil
	}
	var messages []Message
	for address, known := range f.followers {
		known.nextHeartbeatAt = now
		messages = f.appendDueHeartbeat(messages, now, address)
	}
	return messages
}

// advertisedAge returns the confirmation age to send to a follower, and false if there is none.
func (f *Feed) advertisedAge(now time.Duration, address string) (time.Duration, bool) {
	toHead := slices.ContainsFunc(f.heads, func(head Member) bool { return head.Address == address })
	if toHead {
		return now - f.relayConfirmedAt, f.relayConfirmed
	}
	return f.ConfirmedAge(now)
}
