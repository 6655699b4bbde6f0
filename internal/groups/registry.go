package groups

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/store"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// Caller calls other nodes.
type Caller interface {
	Call(ctx context.Context, address string, envelope *wire.Envelope) (*wire.Envelope, error)
}

// Options configures a registry.
type Options struct {
	Self     *wire.Member
	Members  int
	Lag      time.Duration
	Settings group.Settings
	Clock    clock.Clock
	Store    store.Store
	Caller   Caller
	Logger   *zap.Logger
	// LeaderOf returns the last known leader of a group, or nil.
	LeaderOf func(group string) *wire.Member
	// Dependencies is handed to every group.
	Dependencies group.Dependencies
}

// Registry holds the groups that this node takes part in. It is safe for
// concurrent use.
//
// Lock order: Registry.mutex before Group.mutex.
type Registry struct {
	options Options

	mutex    sync.Mutex
	groups   map[string]*group.Group
	table    *table.Table
	machines []machines.Machine
	// lastSeen is when each machine was last on the list, firstRead and lastRead
	// when the list was read first and last.
	lastSeen  map[string]time.Duration
	firstRead time.Duration
	lastRead  time.Duration
	hasRead   bool
	keepers   map[string]*keeper
	imports   map[string]*pendingImport
}

// NewRegistry returns a registry without groups.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options:  options,
		groups:   make(map[string]*group.Group),
		table:    &table.Table{},
		lastSeen: make(map[string]time.Duration),
		keepers:  make(map[string]*keeper),
		imports:  make(map[string]*pendingImport),
	}
}

// Group returns the group of a service, or nil when this node is no member.
func (r *Registry) Group(service string) *group.Group {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.groups[service]
}

// All returns every group of this node.
func (r *Registry) All() []*group.Group {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]*group.Group, 0, len(r.groups))
	for _, known := range r.groups {
		all = append(all, known)
	}
	return all
}

// Tick lets time pass in every group.
func (r *Registry) Tick() {
	for _, known := range r.All() {
		known.Tick()
	}
}

// SetTable replaces the table.
func (r *Registry) SetTable(latest *table.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table = latest
	r.configureAll()
}

// SetMachines replaces the machine list.
func (r *Registry) SetMachines(listed []machines.Machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Clock()
	if !r.hasRead {
		r.firstRead = now
		r.hasRead = true
	}
	r.lastRead = now
	for _, machine := range listed {
		r.lastSeen[machine.ID] = now
	}
	r.machines = listed
	r.configureAll()
}

func (r *Registry) configureAll() {
	for name, known := range r.groups {
		r.configure(name, known)
	}
}

func (r *Registry) configure(name string, known *group.Group) {
	policy := r.table.Policy(identity.ServiceName(name))
	if policy == nil {
		return
	}
	known.Configure(*policy, Servers(policy.Service, r.table, r.machines))
}

// Servers joins the table with the machine list: a row's weight is divided
// evenly among the site's servers that are not leaving.
func Servers(service identity.ServiceName, current *table.Table, listed []machines.Machine) []group.Server {
	staying := make(map[string]int)
	for _, machine := range listed {
		row := rowFor(service, current, machine)
		if row != nil && !isLeaving(row, machine) {
			staying[machine.Site]++
		}
	}
	var servers []group.Server
	for _, machine := range listed {
		row := rowFor(service, current, machine)
		if row == nil {
			continue
		}
		server := group.Server{
			Spec: ownership.ServerSpec{
				ID:      identity.ServerID(machine.ID),
				Address: machine.Address,
				Leaving: isLeaving(row, machine),
			},
			Slots:       row.Slots,
			Connections: row.ConnectionShare(),
		}
		if !server.Spec.Leaving {
			server.Spec.Weight = row.Weight / float64(staying[machine.Site])
		}
		servers = append(servers, server)
	}
	return servers
}

func rowFor(service identity.ServiceName, current *table.Table, machine machines.Machine) *table.Row {
	if machine.Kind != machines.KindServer || machine.Service != service {
		return nil
	}
	return current.Row(service, machine.Site)
}

func isLeaving(row *table.Row, machine machines.Machine) bool {
	return machine.State == machines.StateLeaving || row.IsLeaving(identity.ServerID(machine.ID))
}

// HandleReplica passes a replica message to its group.
func (r *Registry) HandleReplica(message *wire.ReplicaMessage) {
	if known := r.Group(message.GetGroup()); known != nil {
		known.Step(message)
	}
}

// ErrNotInvited means that an invitation does not name this process.
var ErrNotInvited = errors.New("record does not name this process as a member")

// HandleInvitation creates this node's replica of a group, once per generation.
// A replica of an earlier generation is sealed and replaced: the record proves
// that its generation has ended.
func (r *Registry) HandleInvitation(invitation *wire.Invitation) error {
	record := invitation.GetRecord()
	if !names(record.GetMembership(), r.options.Self) {
		return errors.Wrapf(ErrNotInvited, "group %s", record.GetGroup())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	present := r.groups[record.GetGroup()]
	if present != nil && present.Generation() >= record.GetGeneration() {
		return nil
	}
	if present != nil {
		present.Seal()
	}
	created := group.New(record.GetGroup(), record.GetGeneration(), record.GetFounding(), r.options.Settings, r.options.Dependencies)
	r.groups[record.GetGroup()] = created
	r.configure(record.GetGroup(), created)
	return nil
}

// HandleSeal seals this node's replica of a generation.
func (r *Registry) HandleSeal(request *wire.SealRequest) *wire.SealReply {
	reply := &wire.SealReply{Incarnation: r.options.Self.GetIncarnation()}
	known := r.Group(request.GetGroup())
	if known == nil || known.Generation() != request.GetGeneration() {
		return reply
	}
	reply.HasReplica = true
	reply.Snapshot, reply.Term = known.Seal()
	return reply
}

// HandleProbe tells what this node knows of a group.
func (r *Registry) HandleProbe(request *wire.ProbeRequest) *wire.ProbeReply {
	reply := &wire.ProbeReply{Incarnation: r.options.Self.GetIncarnation()}
	known := r.Group(request.GetGroup())
	if known == nil {
		return reply
	}
	reply.HasReplica = !known.IsSealed()
	reply.Generation = known.Generation()
	_, reply.Leads = known.Membership()
	return reply
}

func names(membership *wire.Membership, member *wire.Member) bool {
	for _, known := range membership.GetMembers() {
		if identity.KeyOf(known) == identity.KeyOf(member) {
			return true
		}
	}
	return false
}

// view is what the maintenance works with: a copy taken under the mutex.
type view struct {
	table *table.Table
	nodes []machines.Machine
	// missing is for how long the list has been read without a machine on it.
	missing func(id string) time.Duration
}

func (r *Registry) view() view {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := maps.Clone(r.lastSeen)
	firstRead, lastRead := r.firstRead, r.lastRead
	missing := func(id string) time.Duration {
		if at, known := seen[id]; known {
			return lastRead - at
		}
		return lastRead - firstRead
	}
	var nodes []machines.Machine
	for _, machine := range r.machines {
		if machine.Kind == machines.KindNode && machine.State == machines.StateLive {
			nodes = append(nodes, machine)
		}
	}
	return view{table: r.table, nodes: nodes, missing: missing}
}
