package mirror

import (
	"github.com/micahaven/micahaven/internal/delta"
	"github.com/micahaven/micahaven/internal/topo"
)

// minDelta is the size from which a value gets a delta, so that nodes which follow
// this one need not be sent all of it.
const minDelta = 1 << 10

// resolve returns those of some changes that are newer than the copy, with their
// values and deltas. It reports false if a value cannot be made. The caller holds
// the mutex.
func (m *Mirror) resolve(events []topo.Event) ([]topo.Event, bool) {
	fresh := make([]topo.Event, 0, len(events))
	pending := make(map[string]topo.Item)
	for _, event := range events {
		own, changed := pending[event.Key]
		if !changed {
			own = m.items[event.Key]
		}
		// A listing is no snapshot: it may hold later changes than the revision
		// that the watch continues from.
		if own.Revision > event.Revision {
			continue
		}
		if event.Deleted {
			pending[event.Key] = topo.Item{}
			fresh = append(fresh, event)
			continue
		}
		resolved, complete := m.valueOf(own, event)
		if !complete {
			return nil, false
		}
		pending[event.Key] = resolved.Item
		fresh = append(fresh, resolved)
	}
	return fresh, true
}

// valueOf completes a change of an item, which this node has as own at the copy's
// revision. The caller holds the mutex.
func (m *Mirror) valueOf(own topo.Item, event topo.Event) (topo.Event, bool) {
	offered := m.ahead[event.Key]
	if offered.Revision != event.Revision {
		return valueFrom(own, event)
	}
	// The value is known; what is passed on is a delta from what other nodes have.
	event.Value = offered.Value
	if event.BaseRevision != own.Revision {
		event.Delta = nil
	}
	return withDelta(own, event), true
}

// valueFrom completes a change of an item from what a node has of it. It reports false
// if the change has a delta from something else.
func valueFrom(own topo.Item, event topo.Event) (topo.Event, bool) {
	switch {
	case event.Value != nil || event.Delta == nil:
		return withDelta(own, event), true
	case own.Revision == event.Revision:
		event.Value = own.Value
		return event, true
	case own.Revision != event.BaseRevision:
		return event, false
	}
	value, err := delta.Apply(own.Value, event.Delta)
	event.Value = value
	return event, err == nil
}

// withDelta adds the delta from the value that this node had before, if that is
// worth it.
func withDelta(before topo.Item, event topo.Event) topo.Event {
	if event.Delta != nil || len(event.Value) < minDelta || len(before.Value) < minDelta || before.Revision >= event.Revision {
		return event
	}
	made := delta.Make(before.Value, event.Value)
	if len(made) < len(event.Value)/2 {
		event.Delta, event.BaseRevision = made, before.Revision
	}
	return event
}
