package mirror

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/topo"
)

// Copy is a complete copy of the store at a revision.
type Copy struct {
	Items     []topo.Item
	Revision  int64
	Deletions Deletions
	// ConfirmedAt is when the store was last known to have nothing newer.
	ConfirmedAt time.Time
}

// Copies fetches copies of the store from other nodes, which saves listing the store.
type Copies interface {
	// Copy returns a copy at the given or a later revision, or false if no node supplied one.
	Copy(ctx context.Context, atLeast int64) (Copy, bool)
}

// list loads the complete copy: from another node if one has the required revision, because listing
// the store takes one call per page of keys, and otherwise from the store.
func (m *Mirror) list(ctx context.Context) error {
	m.mutex.Lock()
	relistRevision := m.relistRevision
	m.mutex.Unlock()
	copied, found := m.copies.Copy(ctx, relistRevision)
	countCopy(found)
	if !found && !m.needsList() {
		// The required revision has arrived from another node in the meantime.
		return nil
	}
	if !found {
		return m.listStore(ctx)
	}
	m.logger.Info("copy loaded from another node", zap.Int64("revision", copied.Revision), zap.Int("items", len(copied.Items)),
		zap.Duration("confirmed_ago", time.Since(copied.ConfirmedAt)))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.adopt(copied)
	m.observer.ConfirmedByPeer(copied.ConfirmedAt, copied.Revision)
	return nil
}

func (m *Mirror) listStore(ctx context.Context) error {
	sentAt := time.Now()
	items, at, err := m.store.List(ctx, "")
	countCall("list", err)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.adopt(listed(items, at))
	m.relistRevision = 0
	m.observer.Confirmed(sentAt, at)
	return nil
}

// scheduleRelist requests that the copy be loaded again until it has reached a revision.
func (m *Mirror) scheduleRelist(revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.scheduleRelistLocked(revision)
}

// scheduleRelistLocked is scheduleRelist for callers that hold the mutex.
func (m *Mirror) scheduleRelistLocked(revision int64) {
	if m.relistRevision == 0 {
		m.loadingSince = time.Now()
	}
	m.relistRevision = max(m.relistRevision, revision)
}

// ReplaceCopy replaces the copy with a list of the store, unless the present one is newer.
func (m *Mirror) ReplaceCopy(items []topo.Item, revision int64) {
	m.Adopt(listed(items, revision))
}

// listed returns the copy that consists of a list of the store.
func listed(items []topo.Item, revision int64) Copy {
	return Copy{Items: items, Revision: revision, Deletions: unknownBefore(revision)}
}

// Adopt replaces the copy with that of another node, unless the present one is newer.
func (m *Mirror) Adopt(copied Copy) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.adopt(copied)
}

// adopt is Adopt for callers that hold the mutex.
func (m *Mirror) adopt(copied Copy) {
	items, revision := copied.Items, copied.Revision
	if revision < m.revision {
		m.logger.Warn("older copy discarded", zap.Int64("revision", m.revision), zap.Int64("copy", revision),
			zap.Int64("era", m.store.Era()))
		return
	}
	adopted := make(map[string]topo.Item, len(items))
	for _, item := range items {
		adopted[item.Key] = keepKnownRevision(m.items[item.Key], item)
	}
	batch := topo.Batch{After: m.revision, Revision: revision, Events: difference(m.items, adopted, revision), Difference: true}
	changes := changesOf(batch, copied.Deletions, adopted)
	first := !m.synced
	m.items, m.deletions = adopted, copied.Deletions
	m.revision = revision
	m.synced = true
	if !first && batch.CrossesEras() {
		m.beginEra()
	}
	m.noteRevision()
	m.dropOutdatedPushed()
	if first {
		m.receiver.Replace(items, revision)
	} else {
		// Most entries are unchanged; decoding all of them again would take a small machine some
		// hundred milliseconds.
		m.receiver.Apply(m.applicable(batch.Events), revision)
	}
	m.observer.Changed(changes)
}

// changesOf returns what followers can be sent in place of the difference to an adopted copy: all
// changes, if the deletions that are known with that copy reach back far enough. The difference from an
// empty copy is cut where they end.
func changesOf(difference topo.Batch, deletions Deletions, adopted map[string]topo.Item) topo.Batch {
	changes := difference
	if difference.After == 0 {
		changes.After, changes.Events = deletions.Since, nil
		for _, event := range difference.Events {
			if event.Revision > deletions.Since && event.Revision <= difference.Revision {
				changes.Events = append(changes.Events, event)
			}
		}
	}
	if deletions.Since > changes.After {
		return changes
	}
	changes.Difference = false
	changes.Events = append(changes.Events, deletions.after(changes.After, adopted)...)
	return changes
}

// keepKnownRevision returns the item of a new copy, or the present one if both are the same change:
// the store lists keys that have not changed since an earlier era with a revision of the current
// era. The earliest revision is kept, so that all nodes converge on the same one.
func keepKnownRevision(current, item topo.Item) topo.Item {
	isSame := topo.NumberOf(current.Revision) == topo.NumberOf(item.Revision) && current.Revision < item.Revision && bytes.Equal(current.Value, item.Value)
	if isSame && current.Revision > 0 {
		return current
	}
	return item
}

// difference returns the changes that lead from one copy to another copy at the given revision.
func difference(before, after map[string]topo.Item, revision int64) []topo.Event {
	var events []topo.Event
	for key, item := range after {
		if before[key].Revision != item.Revision {
			events = append(events, withDelta(before[key], topo.Event{Item: item}))
		}
	}
	for key := range before {
		if _, present := after[key]; !present {
			events = append(events, topo.Event{Item: topo.Item{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return events
}
