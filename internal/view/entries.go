package view

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/documents"
	"github.com/micahaven/micahaven/internal/topo"
)

// maxRefusedEntries limits for how many instances it is recorded that their refused entry has been
// logged, because a faulty writer may create any number of them.
const maxRefusedEntries = 256

// refusedEntries is the set of instances whose entry is invalid, so that each is logged once.
type refusedEntries map[string]bool

// recordRefusal adds an instance and reports whether its refusal has to be logged.
func (r refusedEntries) recordRefusal(instance string) bool {
	if r[instance] || len(r) >= maxRefusedEntries {
		return false
	}
	r[instance] = true
	return true
}

// putServer applies a server's entry. An entry that cannot be decoded counts as missing.
func (b *Builder) putServer(instance string, item topo.Item) {
	entry, err := b.documents.Server(instance, item.Value)
	if err != nil {
		if b.refusals.recordRefusal(instance) {
			b.logger.Error("invalid server entry, treated as missing", zap.String("server", documents.Shorten(instance)),
				zap.Int64("revision", item.Revision), zap.Error(err))
		}
		b.markGone(instance)
		return
	}
	delete(b.refusals, instance)
	if !b.isNewestIncarnation(instance, entry, item.Revision) {
		return
	}
	now := time.Now()
	// The entry was written earlier, so the server is warm by this time at the latest. A server may
	// turn cold again, so each entry restarts the warm-up.
	server := &Server{Server: entry, Revision: item.Revision, WarmAt: now.Add(entry.WarmUp)}
	previous := b.servers.get(entry.ID)
	if previous != nil {
		server.DrainingSince = previous.DrainingSince
	}
	if server.DrainingSince.IsZero() {
		server.DrainingSince = b.leaving[entry.ID]
	}
	if entry.State == discovery.Draining && server.DrainingSince.IsZero() {
		server.DrainingSince = b.changedAt()
		b.logger.Info("server draining", zap.String("server", string(entry.ID)), zap.Int64("revision", item.Revision))
	}
	b.logEntry(server, previous)
	b.servers.put(server)
}

// isNewestIncarnation reports whether an entry belongs to the newest incarnation of its instance.
// An earlier incarnation that it replaces has ended.
func (b *Builder) isNewestIncarnation(instance string, entry discovery.Server, revision int64) bool {
	known, present := b.incarnations[instance]
	if !present || known == entry.ID {
		b.incarnations[instance] = entry.ID
		return true
	}
	previous := b.servers.get(known)
	if entry.StartedAt < previous.StartedAt && !isReplaceable(previous, revision) {
		b.logger.Info("entry of an earlier server incarnation ignored", zap.String("server", string(entry.ID)),
			zap.String("newest", string(known)), zap.Int64("revision", revision))
		return false
	}
	ended := *previous
	ended.Ended, ended.LapsedUntil = true, time.Time{}
	if ended.GoneSince.IsZero() {
		ended.GoneSince = time.Now()
	}
	b.servers.put(&ended)
	b.incarnations[instance] = entry.ID
	b.logger.Info("server restarted", zap.String("server", string(entry.ID)), zap.String("before", string(known)),
		zap.Int64("revision", revision))
	return true
}

// maxStartAhead is how far a start time may be ahead of this node's clock, to order incarnations.
const maxStartAhead = 24 * time.Hour

// isReplaceable reports whether an entry at the given revision replaces that of a known incarnation,
// although it names an earlier start. The known entry must precede it in the same era, and must have
// been deleted or name a start in the future: another writer may have left it under the server's id.
// Otherwise an entry with an earlier start was written late, or is part of a restored store.
func isReplaceable(known *Server, revision int64) bool {
	if topo.EraOf(known.Revision) != topo.EraOf(revision) || revision <= known.Revision {
		return false
	}
	deleted := !known.GoneSince.IsZero() && known.LapsedUntil.IsZero()
	return deleted || time.UnixMilli(known.StartedAt).After(time.Now().Add(maxStartAhead))
}

// logEntry logs the changes of a server's entry; previous is nil if the server was not known.
func (b *Builder) logEntry(server, previous *Server) {
	if !b.loaded {
		return
	}
	if previous == nil || !previous.GoneSince.IsZero() {
		b.logger.Info("server registered", zap.String("server", string(server.ID)), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Duration("warm_up", server.WarmUp), zap.Int64("revision", server.Revision))
	}
	if previous != nil && previous.WarmUp == 0 && server.WarmUp > 0 {
		b.logger.Info("server turned cold", zap.String("server", string(server.ID)), zap.Duration("warm_up", server.WarmUp),
			zap.Int64("revision", server.Revision))
	}
}

// markGone records that the entry of an instance is missing.
func (b *Builder) markGone(instance string) {
	known := b.servers.get(b.incarnations[instance])
	if known == nil || !known.GoneSince.IsZero() {
		return
	}
	gone := *known
	gone.GoneSince = b.changedAt()
	if until, lapsed := b.lapse(); lapsed {
		gone.LapsedUntil = until
	}
	b.servers.put(&gone)
	b.logger.Info("server gone", zap.String("server", string(known.ID)), zap.Bool("draining", !gone.DrainingSince.IsZero()),
		zap.Bool("may_return", !gone.LapsedUntil.IsZero()))
}

// leavingRetention is how long the announcement of a server that it is leaving is kept while its
// entry is missing: after an outage of the store, the entry may return without the draining state.
const leavingRetention = 10 * time.Minute

// MarkLeaving records that a server announced in a response that it is leaving, and reports
// whether that is new for a known server. The store may report it much later, or never if it is
// unavailable, so the server counts as draining from now on, whatever its entry says.
func (b *Builder) MarkLeaving(id discovery.ServerID) bool {
	b.mutex.Lock()
	if _, announced := b.leaving[id]; announced {
		b.mutex.Unlock()
		return false
	}
	now := time.Now()
	b.forgetLeaving(now)
	b.leaving[id] = now
	known := b.servers.get(id)
	if known == nil || !known.DrainingSince.IsZero() {
		b.mutex.Unlock()
		return false
	}
	leaving := *known
	leaving.DrainingSince = now
	b.servers.put(&leaving)
	published := b.publish()
	b.mutex.Unlock()
	b.logger.Info("server draining, announced in response", zap.String("server", string(id)))
	b.notify(published)
	return true
}

// forgetLeaving drops the announcements of removed servers after leavingRetention. The caller holds
// the mutex.
func (b *Builder) forgetLeaving(now time.Time) {
	for id, announcedAt := range b.leaving {
		if b.servers.get(id) == nil && now.Sub(announcedAt) > leavingRetention {
			delete(b.leaving, id)
		}
	}
}
