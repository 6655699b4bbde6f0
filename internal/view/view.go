// Package view builds the router's state from the store's keys: the routing table, the servers, the
// owner maps and the other nodes.
package view

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
)

// Prefixes of the keys that the router writes to the store.
const (
	nodePrefix    = "micahaven/nodes/"
	managerPrefix = "micahaven/managers/"
	ownersPrefix  = "micahaven/owners/"
	retiredPrefix = "micahaven/retired/"
)

// HeadsKey holds the addresses of the nodes that send changes to the nodes of their zones. Nodes
// that start read it.
const HeadsKey = "micahaven/heads"

// NodeKey returns the key under which a node registers.
func NodeKey(node string) string { return nodePrefix + node }

// ManagerKey returns the key of the lock of a service's manager.
func ManagerKey(service string) string { return managerPrefix + service }

// eraSuffix, followed by the number of the era, ends the key of an owner map that was written in an
// era above 0.
const eraSuffix = "/era/"

// OwnersKey returns the key of a service's owner map that was written in the given era of the
// store. Maps of different eras have different keys, because their revisions may have the same
// numbers.
func OwnersKey(service string, era int64) string {
	if era == 0 {
		return ownersPrefix + service
	}
	return ownersPrefix + service + eraSuffix + strconv.FormatInt(era, 10)
}

// ParseOwnersKey returns the service and the era of an owner map's key, and false for any other key.
func ParseOwnersKey(key string) (service string, era int64, found bool) {
	name, found := strings.CutPrefix(key, ownersPrefix)
	if !found {
		return "", 0, false
	}
	if at := strings.LastIndex(name, eraSuffix); at >= 0 {
		if era, err := strconv.ParseInt(name[at+len(eraSuffix):], 10, 64); err == nil {
			return name[:at], era, true
		}
	}
	return name, 0, true
}

// RetirementKey returns the key of the retirement of a node from its last term as the manager of a
// service, if that term ended with the loss of the lock.
func RetirementKey(service, node string) string { return retiredPrefix + service + "/" + node }

// Retirement states that a node sends no more orders of a term or of earlier terms.
type Retirement struct {
	Process string `json:"process"`
	// Epoch is the epoch of the term that has ended.
	Epoch int64 `json:"epoch"`
}

// Documents decodes the documents that the platform keeps in the store.
type Documents interface {
	Table(text []byte) (routing.Spec, error)
	Server(id string, text []byte) (discovery.Server, error)
}

// Layout holds the keys under which the platform keeps its documents.
type Layout struct {
	TableKey     string
	ServerPrefix string
	// EvacuationPrefix is the prefix of the keys that name evacuated zones; empty if there are
	// none.
	EvacuationPrefix string
}

// Node is the registration of a router node.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Process identifies one run of the node. Later runs have greater values.
	Process string `json:"process"`
	// Share is the node's share of a processor.
	Share float64 `json:"share"`
}

// Server is a server's entry and what the view records of its warm-up, draining and removal.
type Server struct {
	discovery.Server
	// Revision is the store's revision at the last change of the server's entry.
	Revision int64
	// WarmAt is when the server's warm-up ends.
	WarmAt time.Time
	// DrainingSince is when the server was first seen draining; zero if it is not draining.
	DrainingSince time.Time
	// GoneSince is when the entry was first seen missing; zero if it is present.
	GoneSince time.Time
	// Ended is true if a later incarnation has registered under the same instance id. This one does
	// not return, but the later one may have accepted renewals of its grants.
	Ended bool
	// LapsedUntil is set if the entry may be missing only because its lease expired while the store
	// was unavailable: until then it may be written again.
	LapsedUntil time.Time
}

// Gone reports whether the server counts as gone, given how long a missing entry is tolerated.
// Entries that lapsed while the store was unavailable are tolerated until LapsedUntil instead.
func (s *Server) Gone(now time.Time, grace time.Duration) bool {
	switch {
	case s.Ended:
		return true
	case s.GoneSince.IsZero():
		return false
	case !s.LapsedUntil.IsZero():
		return now.After(s.LapsedUntil)
	default:
		return now.Sub(s.GoneSince) > grace
	}
}

// Serving reports whether the server is neither draining nor gone.
func (s *Server) Serving(now time.Time) bool { return s.DrainingSince.IsZero() && !s.Gone(now, 0) }

// Owners is an owner map with its revision in the store.
type Owners struct {
	*shards.Owners
	Revision int64
	// Era is the era of the store in which the map was written.
	Era int64
	// Encoded is the stored form of the map.
	Encoded []byte
}

// Manager is the node that holds a service's manager lock, or held it in an earlier era.
type Manager struct {
	Node
	// Era is the era of the store in which the lock was taken.
	Era int64 `json:"era,omitempty"`
	// Revision is the store's revision at which the lock was taken; 0 if there is no lock.
	Revision int64 `json:"-"`
}

// View is the router's state at one revision of the store. It is immutable; parts that a change did
// not touch are shared between views.
type View struct {
	Revision int64
	// Table is nil until a configuration is known.
	Table   *routing.Table
	Servers ServerIndex
	// Services holds the servers of each service by id.
	Services map[string]ServerIndex
	// Changed lists the servers that were added, changed or removed since the previous view.
	Changed  []discovery.ServerID
	Owners   map[string]Owners
	Managers map[string]Manager
	// Retired holds retirements by RetirementKey.
	Retired map[string]Retirement
	Nodes   Index[string, Node]
	// Evacuations holds, by zone, the evacuations in force and those that have ended.
	Evacuations map[string]Evacuation
	// Unchanged reports which parts are unchanged since the previous view.
	Unchanged UnchangedParts
}

// UnchangedParts reports, for parts of a view, whether they are the same as in the previous view.
type UnchangedParts struct{ Table, Servers, Nodes, Evacuations bool }

// Evacuation is an operator's order to send no requests to the servers of a zone.
type Evacuation struct {
	// Since is when the order was first seen; zero if it was in the node's first copy, so that it
	// may have been in force for a long time.
	Since time.Time
	// EndedAt is when the withdrawal of the order was seen; zero while the order is in force.
	EndedAt time.Time
}

// InForce reports whether the order still applies.
func (e Evacuation) InForce() bool { return e.EndedAt.IsZero() }

// Evacuated reports whether a zone is evacuated and, if known, since when.
func (v *View) Evacuated(zone string) (since time.Time, evacuated bool) {
	evacuation, known := v.Evacuations[zone]
	return evacuation.Since, known && evacuation.InForce()
}

// WarmUntil returns until when a server is, or may be, warming up. Servers of a zone that was
// evacuated turn cold without requests, and their entries may report it late.
func (v *View) WarmUntil(s *Server) time.Time {
	evacuation, known := v.Evacuations[s.Zone]
	if !known || evacuation.InForce() || v.Table == nil {
		return s.WarmAt
	}
	service, _ := v.Table.Service(s.Service)
	if after := evacuation.EndedAt.Add(service.WarmUp); after.After(s.WarmAt) {
		return after
	}
	return s.WarmAt
}

// MaySendOrders reports whether a node may still send orders of a term as the manager of a service.
func (v *View) MaySendOrders(service, node, process string, epoch int64) bool {
	return v.ManagerState(service, node, process, epoch) == shards.MaySendCommands
}

// ManagerState returns the state of a node as the manager of a service in a term: it has retired from
// the term, or has ended if a later process of the node has registered.
func (v *View) ManagerState(service, node, process string, epoch int64) shards.AuthorState {
	if retired := v.Retired[RetirementKey(service, node)]; retired.Process == process && retired.Epoch >= epoch {
		return shards.Retired
	}
	// In a restored store, an earlier process than the given one may be registered.
	if registered, known := v.Nodes.Lookup(node); known && registered.Process > process {
		return shards.Ended
	}
	return shards.MaySendCommands
}
