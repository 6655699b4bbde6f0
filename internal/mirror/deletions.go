package mirror

import "github.com/micahaven/micahaven/internal/topo"

// maxDeletions is how many deletions a mirror remembers.
const maxDeletions = 1024

// Deletions are the deletions of keys after a revision. With them, a copy shows what has changed since
// then.
type Deletions struct {
	// Since is the revision after which all deletions are known.
	Since  int64
	Events []topo.Event
}

// unknownBefore returns no deletions, known after a revision.
func unknownBefore(revision int64) Deletions { return Deletions{Since: revision} }

// record adds the deletions among changes and forgets the oldest ones.
func (d *Deletions) record(changes []topo.Event) {
	for _, event := range changes {
		if event.Deleted {
			d.Events = append(d.Events, topo.Event{Item: topo.Item{Key: event.Key, Revision: event.Revision}, Deleted: true})
		}
	}
	if surplus := len(d.Events) - maxDeletions; surplus > 0 {
		for _, event := range d.Events[:surplus] {
			d.Since = max(d.Since, event.Revision)
		}
		d.Events = append([]topo.Event(nil), d.Events[surplus:]...)
	}
}

// after returns the deletions after a revision of keys that items lacks.
func (d *Deletions) after(revision int64, items map[string]topo.Item) []topo.Event {
	var events []topo.Event
	for _, event := range d.Events {
		if _, present := items[event.Key]; !present && event.Revision > revision {
			events = append(events, event)
		}
	}
	return events
}
