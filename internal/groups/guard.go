package groups

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// pendingImport is the journal that a recovery brought out of an earlier
// generation, until the new group has taken it in.
type pendingImport struct {
	generation uint64
	records    []*wire.JournalRecord
	// complete is true when a sealed member held every committed record. With an
	// even number of members that is so while one half survives; with an odd one
	// a recovery has always lost a majority.
	complete bool
}

// importBatch bounds the records of one log entry.
const importBatch = 256

// guard looks after a group that this node does not lead: the first nodes in
// the group's rank create it, invite its members and recover it.
func (r *Registry) guard(ctx context.Context, name string, seen view) error {
	if !r.isGuardian(name, seen) {
		return nil
	}
	kept := r.keeper(name)
	if r.hasLeader(ctx, name, seen) {
		kept.silent = 0
		return nil
	}
	kept.silent++
	kept.record = nil
	err := r.loadRecord(ctx, name, kept)
	if errors.Is(err, errNoRecord) {
		// The machine list fills up one by one when a system starts, so a group
		// waits a while for enough nodes.
		if len(seen.nodes) < r.options.Members && kept.silent < silentRounds {
			return nil
		}
		return r.found(ctx, name, seen)
	}
	if err != nil {
		return err
	}
	r.invite(ctx, kept.record)
	if kept.silent < silentRounds {
		return nil
	}
	return r.recover(ctx, kept, seen)
}

func (r *Registry) isGuardian(name string, seen view) bool {
	ranked := Rank(name, seen.nodes)
	position := slices.IndexFunc(ranked, func(node machines.Machine) bool {
		return node.ID == r.options.Self.GetNode()
	})
	return position >= 0 && position < guardians
}

// hasLeader asks the nodes that are likely members whether one leads.
func (r *Registry) hasLeader(ctx context.Context, name string, seen view) bool {
	var addresses []string
	if leader := r.options.LeaderOf(name); leader != nil {
		addresses = append(addresses, leader.GetAddress())
	}
	for _, node := range Choose(name, seen.nodes, nil, r.options.Members) {
		addresses = append(addresses, node.Address)
	}
	for _, address := range addresses {
		if reply, err := r.probe(ctx, name, address); err == nil && reply.GetLeads() {
			r.sendImports(ctx, name, address)
			return true
		}
	}
	return false
}

// found creates the record of a new group. Several nodes may try; the
// compare-and-swap lets one win.
func (r *Registry) found(ctx context.Context, name string, seen view) error {
	policy := seen.table.Policy(identity.ServiceName(name))
	members := r.gather(ctx, name, seen)
	if len(members) < min(r.options.Members, len(seen.nodes)) || len(members) == 0 {
		return errors.Newf("group %s: %d nodes answer, %d are wanted", name, len(members), r.options.Members)
	}
	record := newRecord(name, policy, members)
	kept := &keeper{}
	if err := r.write(ctx, kept, record); err != nil {
		return err
	}
	r.options.Logger.Info("group founded", zap.String("service", name), zap.Int("members", len(members)))
	r.invite(ctx, record)
	return nil
}

func newRecord(name string, policy *table.Policy, members []*wire.Member) *wire.GroupRecord {
	const firstGeneration = 1
	membership := &wire.Membership{Version: 1, Members: members}
	return &wire.GroupRecord{
		Group:      name,
		Generation: firstGeneration,
		Membership: membership,
		Founding: &wire.Snapshot{
			Membership: membership,
			State:      ownership.InitialState(policy.Slices, firstGeneration),
		},
	}
}

func (r *Registry) gather(ctx context.Context, name string, seen view) []*wire.Member {
	var members []*wire.Member
	for _, node := range Choose(name, seen.nodes, nil, r.options.Members) {
		if member := r.introduce(ctx, name, node); member != nil {
			members = append(members, member)
		}
	}
	return members
}

// survey is what a recovery finds out about the members of a record.
type survey struct {
	alive []*wire.Member
	gone  int
}

func (r *Registry) survey(ctx context.Context, record *wire.GroupRecord, seen view) survey {
	var found survey
	for _, member := range record.GetMembership().GetMembers() {
		reply, err := r.probe(ctx, record.GetGroup(), member.GetAddress())
		switch {
		case err == nil && reply.GetIncarnation() == member.GetIncarnation():
			found.alive = append(found.alive, member)
		case r.isGone(ctx, member, seen):
			found.gone++
		}
	}
	return found
}

// recover starts a new generation when the present one cannot elect a leader
// any more. It does so only when every member is either sealed by it or gone:
// an entry that was committed is then held by a sealed member, unless a whole
// majority is gone, which is more than a group tolerates.
func (r *Registry) recover(ctx context.Context, kept *keeper, seen view) error {
	record := kept.record
	found := r.survey(ctx, record, seen)
	total := len(record.GetMembership().GetMembers())
	quorum := total/2 + 1
	if len(found.alive) >= quorum {
		return nil
	}
	if len(found.alive)+found.gone < total {
		return errors.Newf("group %s: %d members alive, %d gone, of %d: waiting for the rest",
			record.GetGroup(), len(found.alive), found.gone, total)
	}
	best, journal, err := r.seal(ctx, record, found.alive)
	if err != nil {
		return err
	}
	// The last leader may have renewed its lease just before the seal.
	if err := sleep(ctx, clock.Stretch(r.options.Settings.Timing.Lease)); err != nil {
		return err
	}
	return r.foundNext(ctx, kept, seen, best, &pendingImport{
		generation: record.GetGeneration() + 1,
		records:    journal,
		complete:   found.gone < quorum,
	})
}

// seal stops all members that are alive, and returns the newest state among
// them and the record.
func (r *Registry) seal(ctx context.Context, record *wire.GroupRecord, alive []*wire.Member) (*wire.Snapshot, []*wire.JournalRecord, error) {
	best := record.GetFounding()
	if record.GetLatest() != nil {
		best = record.GetLatest()
	}
	var journal []*wire.JournalRecord
	for _, member := range alive {
		reply, err := r.sealMember(ctx, record, member)
		if err != nil {
			return nil, nil, err
		}
		if reply.GetHasReplica() && isNewer(reply.GetSnapshot(), best) {
			best = reply.GetSnapshot()
			journal = best.GetState().GetJournal()
		}
	}
	return best, journal, nil
}

func (r *Registry) sealMember(ctx context.Context, record *wire.GroupRecord, member *wire.Member) (*wire.SealReply, error) {
	request := &wire.SealRequest{Group: record.GetGroup(), Generation: record.GetGeneration()}
	if identity.KeyOf(member) == identity.KeyOf(r.options.Self) {
		return r.HandleSeal(request), nil
	}
	answer, err := r.call(ctx, member.GetAddress(), &wire.Envelope{Body: &wire.Envelope_SealRequest{SealRequest: request}})
	if err != nil {
		return nil, err
	}
	reply := answer.GetSealReply()
	if reply == nil || reply.GetIncarnation() != member.GetIncarnation() {
		return nil, errors.Newf("member %s changed while it was sealed", member.GetNode())
	}
	return reply, nil
}

func isNewer(a, b *wire.Snapshot) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetIndex() >= b.GetIndex()
}

// foundNext writes the record of the next generation.
func (r *Registry) foundNext(ctx context.Context, kept *keeper, seen view, best *wire.Snapshot, journal *pendingImport) error {
	name := kept.record.GetGroup()
	members := r.gather(ctx, name, seen)
	if len(members) == 0 {
		return errors.Newf("group %s: no node answers", name)
	}
	membership := &wire.Membership{Version: kept.record.GetMembership().GetVersion() + 1, Members: members}
	state := proto.CloneOf(best.GetState())
	state.Generation = journal.generation
	state.Journal = nil
	state.ImportPending = true
	record := &wire.GroupRecord{
		Group:      name,
		Generation: journal.generation,
		Membership: membership,
		Founding: &wire.Snapshot{
			Term:       best.GetTerm() + 1,
			Index:      best.GetIndex() + 1,
			Membership: membership,
			State:      state,
		},
	}
	if err := r.write(ctx, kept, record); err != nil {
		return err
	}
	r.options.Logger.Warn("group recovered", zap.String("service", name),
		zap.Uint64("generation", record.GetGeneration()), zap.Int("journal_records", len(journal.records)),
		zap.Bool("journal_complete", journal.complete))
	r.mutex.Lock()
	r.imports[name] = journal
	r.mutex.Unlock()
	r.invite(ctx, record)
	return nil
}

// continueImport hands a recovered journal to the group. This node leads it, or
// forwards the batches to the leader when it learns of one.
func (r *Registry) continueImport(name string, known *group.Group) {
	r.mutex.Lock()
	pending := r.imports[name]
	delete(r.imports, name)
	r.mutex.Unlock()
	if pending == nil || pending.generation != known.Generation() {
		return
	}
	for _, batch := range batches(name, pending) {
		if err := known.ImportJournal(batch); err != nil {
			r.options.Logger.Warn("journal import", zap.String("service", name), zap.Error(err))
			return
		}
	}
}

func batches(name string, pending *pendingImport) []*wire.JournalImport {
	var all []*wire.JournalImport
	for records := range slices.Chunk(pending.records, importBatch) {
		all = append(all, &wire.JournalImport{Records: records, Group: name, Generation: pending.generation})
	}
	if pending.complete {
		all = append(all, &wire.JournalImport{Last: true, Group: name, Generation: pending.generation})
	}
	return all
}

// sendImports hands recovered journals to the leaders of their groups.
func (r *Registry) sendImports(ctx context.Context, name string, leader string) {
	r.mutex.Lock()
	pending := r.imports[name]
	r.mutex.Unlock()
	if pending == nil {
		return
	}
	for _, batch := range batches(name, pending) {
		envelope := &wire.Envelope{Body: &wire.Envelope_JournalImport{JournalImport: batch}}
		if _, err := r.call(ctx, leader, envelope); err != nil {
			r.options.Logger.Debug("journal import", zap.String("service", name), zap.Error(err))
			return
		}
	}
	r.mutex.Lock()
	delete(r.imports, name)
	r.mutex.Unlock()
}

// HandleImport takes in a part of a recovered journal as the leader.
func (r *Registry) HandleImport(batch *wire.JournalImport) error {
	known := r.Group(batch.GetGroup())
	if known == nil || known.Generation() != batch.GetGeneration() {
		return group.ErrNotLeading
	}
	return known.ImportJournal(batch)
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
