package mirror

import (
	"github.com/micahaven/micahaven/internal/delta"
	"github.com/micahaven/micahaven/internal/topo"
)

// minDeltaSize is the value size from which a delta is computed, so that followers of this node
// need not be sent the whole value.
const minDeltaSize = 1 << 10

// resolve returns the changes that are newer than the copy, with their values and deltas. It
// returns false if a value cannot be reconstructed. The caller holds the mutex.
func (m *Mirror) resolve(events []topo.Event) ([]topo.Event, bool) {
	fresh := make([]topo.Event, 0, len(events))
	pending := make(map[string]topo.Item)
	for _, event := range events {
		current, changed := pending[event.Key]
		if !changed {
			current = m.items[event.Key]
		}
		// A list is not a snapshot: it may contain changes later than the revision from which the
		// watch continues.
		if current.Revision > event.Revision {
			continue
		}
		if event.Deleted {
			pending[event.Key] = topo.Item{}
			fresh = append(fresh, event)
			continue
		}
		resolved, complete := m.resolveEvent(current, event)
		if !complete {
			return nil, false
		}
		pending[event.Key] = resolved.Item
		fresh = append(fresh, resolved)
	}
	return fresh, true
}

// resolveEvent completes a change of an item, given the item at the copy's revision. The caller
// holds the mutex.
func (m *Mirror) resolveEvent(current topo.Item, event topo.Event) (topo.Event, bool) {
	pushedItem := m.pushed[event.Key]
	if pushedItem.Revision != event.Revision {
		return resolveFrom(current, event)
	}
	// The value is known from the pushed item. Followers are sent a delta from the item that they
	// have.
	event.Value = pushedItem.Value
	if event.BaseRevision != current.Revision {
		event.Delta = nil
	}
	return withDelta(current, event), true
}

// resolveFrom completes a change of an item, given a known version of it. It returns false if the
// delta of the change has another base.
func resolveFrom(current topo.Item, event topo.Event) (topo.Event, bool) {
	switch {
	case event.Value != nil || event.Delta == nil:
		return withDelta(current, event), true
	case current.Revision == event.Revision:
		event.Value = current.Value
		return event, true
	case current.Revision != event.BaseRevision:
		return event, false
	}
	value, err := delta.Apply(current.Value, event.Delta)
	event.Value = value
	return event, err == nil
}

// withDelta adds the delta from the previous value if it is less than half as large as the new
// value.
func withDelta(before topo.Item, event topo.Event) topo.Event {
	if event.Delta != nil || len(event.Value) < minDeltaSize || len(before.Value) < minDeltaSize || before.Revision >= event.Revision {
		return event
	}
	made := delta.Make(before.Value, event.Value)
	if len(made) < len(event.Value)/2 {
		event.Delta, event.BaseRevision = made, before.Revision
	}
	return event
}
