package view

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/topo"
)

// maxRefusedEntries bounds the entries of which it is remembered that they were logged as
// refused; a writer that goes wrong may leave any number.
const maxRefusedEntries = 256

// refusedEntries are the instances whose entry cannot be used, so that each is logged once.
type refusedEntries map[string]bool

// note reports whether a refusal is new and to be logged.
func (r refusedEntries) note(instance string) bool {
	if r[instance] || len(r) >= maxRefusedEntries {
		return false
	}
	r[instance] = true
	return true
}

// putServer takes a server's entry in. One that cannot be read names no server to use.
func (b *Builder) putServer(instance string, item topo.Item) {
	entry, err := b.documents.Server(instance, item.Value)
	if err != nil {
		if b.refusals.note(instance) {
			b.logger.Error("server entry refused", zap.String("server", instance), zap.Int64("revision", item.Revision), zap.Error(err))
		}
		b.markGone(instance)
		return
	}
	delete(b.refusals, instance)
	if !b.isNewestLife(instance, entry, item.Revision) {
		return
	}
	now := time.Now()
	// The entry was written earlier, so that the server is warm by then at the latest. A
	// server may turn cold again, so each entry counts anew.
	server := &Server{Server: entry, Revision: item.Revision, WarmAt: now.Add(entry.WarmUp)}
	before := b.servers.get(entry.ID)
	if before != nil {
		server.DrainingSince = before.DrainingSince
	}
	if server.DrainingSince.IsZero() {
		server.DrainingSince = b.leaving[entry.ID]
	}
	if entry.State == discovery.Draining && server.DrainingSince.IsZero() {
		server.DrainingSince = now
		b.logger.Info("server draining", zap.String("server", string(entry.ID)), zap.Int64("revision", item.Revision))
	}
	b.logEntry(server, before)
	b.servers.put(server)
}

// isNewestLife reports whether an entry is that of the newest life of its instance. The
// life that it replaces has ended, and holds and knows nothing any more.
func (b *Builder) isNewestLife(instance string, entry discovery.Server, revision int64) bool {
	known, present := b.lives[instance]
	if !present || known == entry.ID {
		b.lives[instance] = entry.ID
		return true
	}
	before := b.servers.get(known)
	if entry.StartedAt < before.StartedAt {
		b.logger.Info("entry of an earlier life passed over", zap.String("server", string(entry.ID)),
			zap.String("newest", string(known)), zap.Int64("revision", revision))
		return false
	}
	ended := *before
	ended.Ended, ended.LapsedUntil = true, time.Time{}
	if ended.GoneSince.IsZero() {
		ended.GoneSince = time.Now()
	}
	b.servers.put(&ended)
	b.lives[instance] = entry.ID
	b.logger.Info("server started again", zap.String("server", string(entry.ID)), zap.String("before", string(known)),
		zap.Int64("revision", revision))
	return true
}

// logEntry logs what a server's entry changes; before is nil if the server was not known.
func (b *Builder) logEntry(server, before *Server) {
	if !b.started {
		return
	}
	if before == nil || !before.GoneSince.IsZero() {
		b.logger.Info("server registered", zap.String("server", string(server.ID)), zap.String("service", server.Service),
			zap.String("address", server.Address), zap.Duration("warm_up", server.WarmUp), zap.Int64("revision", server.Revision))
	}
	if before != nil && before.WarmUp == 0 && server.WarmUp > 0 {
		b.logger.Info("server turned cold", zap.String("server", string(server.ID)), zap.Duration("warm_up", server.WarmUp),
			zap.Int64("revision", server.Revision))
	}
}

// markGone notes that the entry of an instance is missing.
func (b *Builder) markGone(instance string) {
	known := b.servers.get(b.lives[instance])
	if known == nil || !known.GoneSince.IsZero() {
		return
	}
	gone := *known
	gone.GoneSince = time.Now()
	if until, lapsed := b.lapse(); lapsed {
		gone.LapsedUntil = until
	}
	b.servers.put(&gone)
	b.logger.Info("server gone", zap.String("server", string(known.ID)), zap.Bool("draining", !gone.DrainingSince.IsZero()),
		zap.Bool("may_return", !gone.LapsedUntil.IsZero()))
}

// leavingMemory is for how long it is remembered that a server whose entry is missing said
// that it leaves: its entry may come back with a store that was away, and not tell it.
const leavingMemory = 10 * time.Minute

// TakeLeaving takes in that a server said in an answer that it leaves, and reports whether
// that is new. The store may tell it much later, or never if it is away: the server counts as
// draining from now on, whatever its entry says.
func (b *Builder) TakeLeaving(id discovery.ServerID) bool {
	b.mutex.Lock()
	if _, told := b.leaving[id]; told {
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
	b.logger.Info("server draining, as it answered", zap.String("server", string(id)))
	b.notify(published)
	return true
}

// forgetLeaving drops what was told long ago of servers that are gone. The caller holds the
// mutex.
func (b *Builder) forgetLeaving(now time.Time) {
	for id, told := range b.leaving {
		if b.servers.get(id) == nil && now.Sub(told) > leavingMemory {
			delete(b.leaving, id)
		}
	}
}
