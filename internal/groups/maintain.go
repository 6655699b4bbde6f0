package groups

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/store"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// recordPrefix is where group records are kept.
	recordPrefix = "/micahaven/groups/"
	// maintainInterval is the pause between two rounds of maintenance.
	maintainInterval = 500 * time.Millisecond
	// callTimeout bounds one call to another node.
	callTimeout = 400 * time.Millisecond
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 2 * time.Second
	// guardians is how many nodes watch over a group that they may not be in.
	guardians = 3
	// silentRounds is how many rounds without a leader pass before a guardian
	// looks into the group's record.
	silentRounds = 4
)

// errNoRecord means that a group was never founded.
var errNoRecord = errors.New("group has no record")

// keeper is what this node remembers between rounds about one group.
type keeper struct {
	record   *wire.GroupRecord
	revision int64
	// savedMark is the number of owner changes that the record covers.
	savedMark uint64
	silent    int
}

// Run maintains groups until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	return periodic.Run(ctx, maintainInterval, r.maintainAll)
}

func (r *Registry) maintainAll(ctx context.Context) {
	seen := r.view()
	for i := range seen.table.Policies {
		name := string(seen.table.Policies[i].Service)
		var err error
		known := r.Group(name)
		leading := false
		if known != nil {
			_, leading = known.Membership()
		}
		if leading {
			err = r.maintainLed(ctx, name, known, seen)
		} else {
			err = r.guard(ctx, name, seen)
		}
		if err != nil {
			r.options.Logger.Debug("group maintenance", zap.String("service", name), zap.Error(err))
		}
	}
}

func (r *Registry) keeper(name string) *keeper {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.keepers[name]
	if known == nil {
		known = &keeper{}
		r.keepers[name] = known
	}
	return known
}

// maintainLed does the leader's part: it keeps the record up to date and the
// membership whole. One step is done per round.
func (r *Registry) maintainLed(ctx context.Context, name string, known *group.Group, seen view) error {
	r.continueImport(name, known)
	kept := r.keeper(name)
	kept.silent = 0
	membership, _ := known.Membership()
	if err := r.loadRecord(ctx, name, kept); err != nil {
		return err
	}
	if kept.record.GetGeneration() != known.Generation() {
		return nil
	}
	if kept.record.GetMembership().GetVersion() > membership.GetVersion() {
		// An earlier leader, or this one, wrote a change that the group has not
		// adopted yet.
		r.invite(ctx, kept.record)
		return known.ChangeMembership(kept.record.GetMembership())
	}
	if next := r.repairedMembership(ctx, name, membership, seen); next != nil {
		return r.changeMembership(ctx, kept, known, next)
	}
	return r.saveLatest(ctx, kept, known)
}

func (r *Registry) loadRecord(ctx context.Context, name string, kept *keeper) error {
	if kept.record != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	pair, found, err := store.Get(ctx, r.options.Store, recordPrefix+name)
	if err != nil {
		return err
	}
	if !found {
		return errors.Wrapf(errNoRecord, "group %s", name)
	}
	record := &wire.GroupRecord{}
	if err := proto.Unmarshal(pair.Value, record); err != nil {
		return errors.Wrapf(err, "record of group %s", name)
	}
	kept.record = record
	kept.revision = pair.Revision
	kept.savedMark = 0
	return nil
}

// write replaces the record. After a conflict or a lost answer the record is
// read again in the next round, which settles what took effect.
func (r *Registry) write(ctx context.Context, kept *keeper, record *wire.GroupRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record.ChangeId = ulid.Make().String()
	value, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode group record")
	}
	revision, err := r.options.Store.CompareAndSwap(ctx, store.Swap{
		Key:      recordPrefix + record.GetGroup(),
		Expected: kept.revision,
		Value:    value,
	})
	if err != nil {
		kept.record = nil
		return err
	}
	kept.record = record
	kept.revision = revision
	return nil
}

func (r *Registry) saveLatest(ctx context.Context, kept *keeper, known *group.Group) error {
	snapshot, mark := known.Durable()
	if mark == kept.savedMark {
		return nil
	}
	record := proto.CloneOf(kept.record)
	record.Latest = snapshot
	if err := r.write(ctx, kept, record); err != nil {
		return err
	}
	kept.savedMark = mark
	return nil
}

// changeMembership writes the change before the group adopts it, so that a
// recovery always knows every member that may hold a committed entry.
func (r *Registry) changeMembership(ctx context.Context, kept *keeper, known *group.Group, next *wire.Membership) error {
	record := proto.CloneOf(kept.record)
	record.Membership = next
	if err := r.write(ctx, kept, record); err != nil {
		return err
	}
	r.options.Logger.Info("changing members", zap.String("service", record.GetGroup()), zap.Stringer("membership", next))
	r.invite(ctx, record)
	return known.ChangeMembership(next)
}

// repairedMembership returns a membership with one member removed or added, or
// nil when the present one is as wanted.
func (r *Registry) repairedMembership(ctx context.Context, name string, present *wire.Membership, seen view) *wire.Membership {
	for i, member := range present.GetMembers() {
		if identity.KeyOf(member) == identity.KeyOf(r.options.Self) {
			continue
		}
		if r.isGone(ctx, member, seen) {
			next := proto.CloneOf(present)
			next.Version++
			next.Members = slices.Delete(next.Members, i, i+1)
			return next
		}
	}
	if len(present.GetMembers()) >= r.options.Members {
		return nil
	}
	var ids []string
	for _, member := range present.GetMembers() {
		ids = append(ids, member.GetNode())
	}
	for _, node := range Choose(name, seen.nodes, ids, r.options.Members) {
		if slices.Contains(ids, node.ID) {
			continue
		}
		if member := r.introduce(ctx, name, node); member != nil {
			next := proto.CloneOf(present)
			next.Version++
			next.Members = append(next.Members, member)
			return next
		}
	}
	return nil
}

// isGone reports whether a member surely cannot take part any more: its address
// answers as another process, or it answers nothing and the machine list has
// not named it for longer than the list may lag.
func (r *Registry) isGone(ctx context.Context, member *wire.Member, seen view) bool {
	reply, err := r.probe(ctx, "", member.GetAddress())
	if err == nil {
		return reply.GetIncarnation() != member.GetIncarnation()
	}
	// Only lists that were read count: while the list is away, nobody is gone.
	return seen.missing(member.GetNode()) > r.options.Lag
}

// introduce asks a node for its incarnation and returns it as a member.
func (r *Registry) introduce(ctx context.Context, name string, node machines.Machine) *wire.Member {
	reply, err := r.probe(ctx, name, node.Address)
	if err != nil {
		return nil
	}
	return &wire.Member{
		Node:        node.ID,
		Incarnation: reply.GetIncarnation(),
		Zone:        node.Zone,
		Address:     node.Address,
	}
}

func (r *Registry) probe(ctx context.Context, name, address string) (*wire.ProbeReply, error) {
	if address == r.options.Self.GetAddress() {
		return r.HandleProbe(&wire.ProbeRequest{Group: name}), nil
	}
	envelope := &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: &wire.ProbeRequest{Group: name}}}
	answer, err := r.call(ctx, address, envelope)
	if err != nil {
		return nil, err
	}
	reply := answer.GetProbeReply()
	if reply == nil {
		return nil, errors.Newf("node %s answered a probe with something else", address)
	}
	return reply, nil
}

func (r *Registry) call(ctx context.Context, address string, envelope *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.options.Caller.Call(ctx, address, envelope)
}

// invite hands the record to every member. Members that have a replica already
// ignore it; an invitation that is lost is repeated by a guardian.
func (r *Registry) invite(ctx context.Context, record *wire.GroupRecord) {
	invitation := &wire.Invitation{Record: record}
	for _, member := range record.GetMembership().GetMembers() {
		if identity.KeyOf(member) == identity.KeyOf(r.options.Self) {
			if err := r.HandleInvitation(invitation); err != nil {
				r.options.Logger.Warn("own invitation", zap.Error(err))
			}
			continue
		}
		envelope := &wire.Envelope{Body: &wire.Envelope_Invitation{Invitation: invitation}}
		if _, err := r.call(ctx, member.GetAddress(), envelope); err != nil {
			r.options.Logger.Debug("invitation", zap.String("member", member.GetNode()), zap.Error(err))
		}
	}
}
