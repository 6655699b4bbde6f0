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
	Items    []topo.Item
	Revision int64
	// ConfirmedAt is when the store surely had nothing newer.
	ConfirmedAt time.Time
}

// Copies gets copies of the store from other nodes, which spares the store a list.
type Copies interface {
	// Copy returns a copy at a revision or a later one, or false if no node gave one.
	Copy(ctx context.Context, atLeast int64) (Copy, bool)
}

// list makes the copy anew: from another node if one has what is wanted, because a
// list takes a call for each page of keys, and otherwise from the store.
func (m *Mirror) list(ctx context.Context) error {
	m.mutex.Lock()
	wanted := m.wanted
	m.mutex.Unlock()
	copied, found := m.copies.Copy(ctx, wanted)
	countCopy(found)
	if !found && !m.mustList() {
		// What was wanted has come from another node meanwhile.
		return nil
	}
	if !found {
		return m.listStore(ctx)
	}
	m.logger.Info("copy taken from another node", zap.Int64("revision", copied.Revision), zap.Int("items", len(copied.Items)),
		zap.Duration("confirmed_ago", time.Since(copied.ConfirmedAt)))
	m.Adopt(copied.Items, copied.Revision)
	m.observer.Told(copied.ConfirmedAt, copied.Revision)
	return nil
}

func (m *Mirror) listStore(ctx context.Context) error {
	sentAt := time.Now()
	items, at, err := m.store.List(ctx, "")
	countCall("list", err)
	if err != nil {
		return err
	}
	m.Adopt(items, at)
	m.mutex.Lock()
	m.wanted = 0
	m.mutex.Unlock()
	m.observer.Confirmed(sentAt, at)
	return nil
}

// listAgain makes the store be listed until the copy has reached a revision.
func (m *Mirror) listAgain(revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.wanted = max(m.wanted, revision)
}

// Adopt takes a complete copy, from the store or from another node, unless this
// one is newer.
func (m *Mirror) Adopt(items []topo.Item, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		m.logger.Warn("older copy discarded", zap.Int64("revision", m.revision), zap.Int64("copy", revision),
			zap.Int64("era", m.store.Era()))
		return
	}
	adopted := make(map[string]topo.Item, len(items))
	for _, item := range items {
		adopted[item.Key] = asKnown(m.items[item.Key], item)
	}
	batch := topo.Batch{After: m.revision, Revision: revision, Events: difference(m.items, adopted, revision)}
	first := !m.listed
	m.items = adopted
	m.revision = revision
	m.listed = true
	if !first && batch.CrossesEras() {
		m.beginEra()
	}
	m.reached()
	m.dropOffered()
	if first {
		m.receiver.Replace(items, revision)
	} else {
		// Most entries are as they were; decoding all again would take a small
		// machine some hundred milliseconds.
		m.receiver.Apply(m.news(batch.Events), revision)
	}
	m.observer.Changed(batch)
}

// asKnown returns an item of another copy as this node has it, if it is the same change: the
// store lists what has not changed since an earlier era with a revision of the present one. The
// earliest revision counts, so that all nodes come to have the same.
func asKnown(own, item topo.Item) topo.Item {
	isSame := topo.NumberOf(own.Revision) == topo.NumberOf(item.Revision) && own.Revision < item.Revision && bytes.Equal(own.Value, item.Value)
	if isSame && own.Revision > 0 {
		return own
	}
	return item
}

// difference returns the changes that lead from one copy to another, which
// reflects a revision.
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
