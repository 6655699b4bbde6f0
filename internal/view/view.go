// Package view turns the store's keys into what the router believes: the routing
// table, the servers, the owner maps and the other nodes.
package view

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
)

// Keys of the store that the router writes.
const (
	nodePrefix    = "micahaven/nodes/"
	managerPrefix = "micahaven/managers/"
	ownersPrefix  = "micahaven/owners/"
	retiredPrefix = "micahaven/retired/"
)

// HeadsKey holds the addresses of the nodes that pass changes on to their zones, for
// nodes that start.
const HeadsKey = "micahaven/heads"

// NodeKey is the key under which a node registers.
func NodeKey(node string) string { return nodePrefix + node }

// ManagerKey is the lock of a service's manager.
func ManagerKey(service string) string { return managerPrefix + service }

// eraSuffix and the era's number end the key of an owner map that was written in an era.
const eraSuffix = "/era/"

// OwnersKey holds the owner map of a service that was written in an era of the store. Maps of
// different eras have different keys, because their revisions may have the same numbers.
func OwnersKey(service string, era int64) string {
	if era == 0 {
		return ownersPrefix + service
	}
	return ownersPrefix + service + eraSuffix + strconv.FormatInt(era, 10)
}

// OwnersOf returns the service and the era of an owner map's key; false for another key.
func OwnersOf(key string) (service string, era int64, found bool) {
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

// RetiredKey holds the last term of a node as the manager of a service that ended
// with the loss of the lock.
func RetiredKey(service, node string) string { return retiredPrefix + service + "/" + node }

// Retirement says that a node sends no orders of a term or of those before it any
// more.
type Retirement struct {
	Process string `json:"process"`
	// Epoch is the epoch of the term that is over.
	Epoch int64 `json:"epoch"`
}

// Documents reads what the platform keeps in the store.
type Documents interface {
	Table(text []byte) (routing.Spec, error)
	Server(id string, text []byte) (discovery.Server, error)
}

// Layout says where the platform keeps its documents.
type Layout struct {
	TableKey     string
	ServerPrefix string
	// EvacuationPrefix begins the keys that name evacuated zones.
	EvacuationPrefix string
}

// Node is another node of the router, as it registered.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Process differs between two lives of a node. That of the later one is greater.
	Process string `json:"process"`
	// Share is the part of a processor that the node has.
	Share float64 `json:"share"`
}

// Server is a server and what the view knows of its end.
type Server struct {
	discovery.Server
	// Revision is the store's at the last change of its entry.
	Revision int64
	// WarmAt is when the server stops being slow.
	WarmAt time.Time
	// DrainingSince is when it was first seen draining; zero if it is not.
	DrainingSince time.Time
	// GoneSince is when its entry was first seen missing; zero if it is there.
	GoneSince time.Time
	// Ended is true if a later life of it has registered under its instance id, so that
	// it is not coming back and holds nothing.
	Ended bool
	// LapsedUntil is set if the entry may be missing only because the store was
	// away: until then it may still come back.
	LapsedUntil time.Time
}

// Gone reports whether the server counts as gone, if a missing entry is borne with
// for some time. Entries that lapsed while the store was away have until a moment
// of their own.
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

// Owners is an owner map and the store's revision of it.
type Owners struct {
	*shards.Owners
	Revision int64
	// Era is the store's era in which the map was written.
	Era int64
	// Encoded is the form in which the map is stored.
	Encoded []byte
}

// Manager is who holds a service's manager lock, or held it in an earlier era.
type Manager struct {
	Node
	// Era is the store's era in which the lock was taken.
	Era int64 `json:"era,omitempty"`
	// Revision is the one at which the lock was taken; 0 if there is no lock.
	Revision int64 `json:"-"`
}

// View is what the router believes at one revision. It is immutable; parts that a
// change did not touch are shared between views.
type View struct {
	Revision int64
	// Table is nil until a configuration is known.
	Table   *routing.Table
	Servers ServerIndex
	// Services holds the servers of each service.
	Services map[string]ServerIndex
	// Changed are the servers that changed or went since the view published before.
	Changed  []discovery.ServerID
	Owners   map[string]Owners
	Managers map[string]Manager
	// Retired holds retirements by RetiredKey.
	Retired map[string]Retirement
	Nodes   Index[string, Node]
	// Evacuations are those of zones that are or were evacuated.
	Evacuations map[string]Evacuation
	// Same names the parts that are those of the view published before.
	Same Parts
}

// Parts are parts of a view.
type Parts struct{ Table, Servers, Nodes, Evacuations bool }

// Evacuation is the operators' order that nothing is sent to the servers of a zone.
type Evacuation struct {
	// Since is when it was first seen; zero if the node found it in its first copy, so
	// that it may have been there for long.
	Since time.Time
	// EndedAt is when it was seen taken back; zero while it is in force.
	EndedAt time.Time
}

// InForce reports whether nothing is to be sent to the zone.
func (e Evacuation) InForce() bool { return e.EndedAt.IsZero() }

// Evacuated reports whether a zone is evacuated, and since when as far as is known.
func (v *View) Evacuated(zone string) (since time.Time, evacuated bool) {
	evacuation, known := v.Evacuations[zone]
	return evacuation.Since, known && evacuation.InForce()
}

// WarmUntil returns until when a server warms up or may be warming up. Servers of a zone
// that was evacuated turn cold without requests, and their entries may say so late.
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

// SendsOrders reports whether a node may still send orders of its term as the
// manager of a service: neither has a later process of it registered nor has it
// retired from the term.
func (v *View) SendsOrders(service, node, process string, epoch int64) bool {
	// A restored store may name an earlier process than the one in question.
	if registered, known := v.Nodes.Lookup(node); known && registered.Process > process {
		return false
	}
	retired := v.Retired[RetiredKey(service, node)]
	return retired.Process != process || retired.Epoch < epoch
}
