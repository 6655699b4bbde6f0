// Package ownership decides which server owns which slice of a service.
//
// State is what the members of a group replicate. Manager is the leader's part:
// it renews the servers' sessions, grants slices to them, moves slices between
// them, and replaces a server that is lost. Both are pure: inputs are calls with
// the time, outputs are returned.
package ownership

import (
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/journal"
	"github.com/micahaven/micahaven/internal/wire"
)

// State is the replicated state of one group. It implements
// replication.StateMachine. The zero value is not usable; call NewState.
type State struct {
	slices      []*wire.SliceAssignment
	nextCounter uint64
	generation  uint64
	journal     *journal.Journal
	// importPending is true while journal records of an earlier generation may
	// still have to be imported.
	importPending bool
	// assigned counts changes of owners, for churn and to notice changes.
	assigned uint64
}

// NewState returns an empty state, to be filled by Restore.
func NewState() *State {
	return &State{journal: journal.New()}
}

// InitialState returns the state of a new group in which no slice has an owner.
func InitialState(sliceCount uint32, generation uint64) *wire.GroupState {
	state := &wire.GroupState{Generation: generation, NextCounter: 1}
	for slice := range sliceCount {
		state.Slices = append(state.Slices, &wire.SliceAssignment{Slice: slice})
	}
	return state
}

// Apply executes one committed entry.
func (s *State) Apply(entry *wire.Entry) {
	switch command := entry.GetCommand().(type) {
	case *wire.Entry_Assign:
		s.assign(command.Assign)
	case *wire.Entry_Begin:
		s.journal.Begin(entry.GetTerm(), entry.GetIndex(), command.Begin)
	case *wire.Entry_Finish:
		s.journal.Finish(command.Finish)
	case *wire.Entry_Trim:
		s.journal.Trim(command.Trim.GetUpToIndex())
	case *wire.Entry_Import:
		s.journal.Import(entry.GetIndex(), command.Import.GetRecords())
		s.importPending = s.importPending && !command.Import.GetLast()
	}
}

// assign gives each slice its new owner under a fence greater than any earlier
// one: the counter only grows, and a new generation orders before the counter.
func (s *State) assign(command *wire.AssignSlices) {
	for _, change := range command.GetAssignments() {
		if int(change.GetSlice()) >= len(s.slices) {
			continue
		}
		s.slices[change.GetSlice()] = &wire.SliceAssignment{
			Slice:    change.GetSlice(),
			Server:   change.GetServer(),
			Instance: change.GetInstance(),
			Fence:    &wire.Fence{Generation: s.generation, Counter: s.nextCounter},
		}
		s.nextCounter++
		s.assigned++
	}
}

// Snapshot returns a deep copy of the state.
func (s *State) Snapshot() *wire.GroupState {
	copied := &wire.GroupState{
		NextCounter:   s.nextCounter,
		Generation:    s.generation,
		Journal:       s.journal.Snapshot(),
		ImportPending: s.importPending,
	}
	for _, assignment := range s.slices {
		copied.Slices = append(copied.Slices, proto.CloneOf(assignment))
	}
	return copied
}

// Restore replaces the state.
func (s *State) Restore(state *wire.GroupState) {
	s.slices = nil
	for _, assignment := range state.GetSlices() {
		s.slices = append(s.slices, proto.CloneOf(assignment))
	}
	s.nextCounter = state.GetNextCounter()
	s.generation = state.GetGeneration()
	s.importPending = state.GetImportPending()
	s.journal.Restore(state.GetJournal())
	s.assigned++
}

// SliceCount returns the number of slices.
func (s *State) SliceCount() int { return len(s.slices) }

// Assignment returns the committed assignment of a slice. The caller must not
// change it.
func (s *State) Assignment(slice uint32) *wire.SliceAssignment { return s.slices[slice] }

// Owners returns the owner of each slice.
func (s *State) Owners() []identity.ServerID {
	owners := make([]identity.ServerID, len(s.slices))
	for slice, assignment := range s.slices {
		owners[slice] = identity.ServerID(assignment.GetServer())
	}
	return owners
}

// Journal returns the requests that may not be repeated.
func (s *State) Journal() *journal.Journal { return s.journal }

// ImportPending reports whether requests that may not be repeated must wait,
// because the journal of an earlier generation may not be complete yet.
func (s *State) ImportPending() bool { return s.importPending }

// Assigned returns a number that grows with every change of an owner.
func (s *State) Assigned() uint64 { return s.assigned }
