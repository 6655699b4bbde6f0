package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/wire"
)

// candidates returns the servers that may be given slices now.
func (m *Manager) candidates(now time.Duration) []placement.Target {
	var targets []placement.Target
	for id, known := range m.sessions {
		if known.inTable && !known.spec.Leaving && known.spec.Weight > 0 && known.isLive(now) {
			targets = append(targets, placement.Target{Server: id, Weight: known.spec.Weight})
		}
	}
	slices.SortFunc(targets, func(a, b placement.Target) int { return cmp.Compare(a.Server, b.Server) })
	return targets
}

// plan computes the wanted owner of every slice when something has changed.
func (m *Manager) plan(now time.Duration) {
	if !m.planDue && now < m.nextRebalance {
		return
	}
	for _, known := range m.sessions {
		if known.isSettling(now) {
			return
		}
	}
	targets := m.candidates(now)
	if len(targets) == 0 {
		m.releaseLeaving()
		return
	}
	m.planDue = false
	m.nextRebalance = now + m.options.RebalanceInterval
	current := m.state.Owners()
	for slice := range current {
		if m.slices[slice].phase == Vacant {
			current[slice] = ""
		}
	}
	wanted := placement.Plan(placement.Input{
		Current:   current,
		Loads:     m.loads,
		Targets:   targets,
		Tolerance: m.options.Tolerance,
	})
	for slice := range wanted {
		m.slices[slice].target = wanted[slice]
	}
	m.keepTargets(now)
}

// releaseLeaving takes slices from leaving servers although nobody else can have
// them: a leaving server must get no new work, so their requests wait.
func (m *Manager) releaseLeaving() {
	for slice := range m.slices {
		if m.isLeaving(m.owner(uint32(slice))) {
			m.slices[slice].target = ""
		}
	}
}

func (m *Manager) isLeaving(server identity.ServerID) bool {
	known := m.sessions[server]
	return known != nil && known.inTable && known.spec.Leaving
}

// keepTargets keeps slices where they are whose owner is silent but may still
// act: a planned move needs its answer, so only the lapse of its session helps.
func (m *Manager) keepTargets(now time.Duration) {
	for slice := range m.slices {
		owner := m.owner(uint32(slice))
		known := m.sessions[owner]
		if known == nil || m.slices[slice].phase == Vacant || m.slices[slice].phase == Assigning {
			continue
		}
		if known.inTable && !known.spec.Leaving && known.spec.Weight > 0 && !known.isLive(now) {
			m.slices[slice].target = owner
		}
	}
}

// startMoves begins planned moves, a bounded number per server at a time.
func (m *Manager) startMoves(now time.Duration) {
	moving := make(map[identity.ServerID]int)
	for slice := range m.slices {
		if phase := m.slices[slice].phase; phase == Holding || phase == Revoking {
			moving[m.owner(uint32(slice))]++
		}
	}
	for slice := range m.slices {
		control := &m.slices[slice]
		owner := m.owner(uint32(slice))
		switch control.phase {
		case Holding:
			if now >= control.heldSince+m.options.HoldTimeout {
				m.startRevoking(uint32(slice))
			}
		case Serving, Granting:
			mustMove := control.target != owner && (control.target != "" || m.isLeaving(owner))
			if !mustMove || moving[owner] >= m.options.MovesPerServer {
				continue
			}
			moving[owner]++
			if control.phase == Granting {
				m.startRevoking(uint32(slice))
				continue
			}
			control.phase = Holding
			control.heldSince = now
			m.markChanged(uint32(slice))
		}
	}
}

func (m *Manager) startRevoking(slice uint32) {
	m.slices[slice].phase = Revoking
	m.markUrgent(m.owner(slice))
	m.markChanged(slice)
}

// proposal gathers the slices that are free to get a new owner.
func (m *Manager) proposal() *wire.AssignSlices {
	if m.proposalPending {
		return nil
	}
	command := &wire.AssignSlices{}
	for slice := range m.slices {
		control := &m.slices[slice]
		isFree := control.phase == Vacant || control.phase == Assigning
		target := m.sessions[control.target]
		if !isFree || target == nil {
			continue
		}
		if control.phase == Vacant && !target.hasReplied {
			continue
		}
		control.phase = Assigning
		command.Assignments = append(command.Assignments, &wire.SliceAssignment{
			Slice:    uint32(slice),
			Server:   string(control.target),
			Instance: target.instance,
		})
	}
	if len(command.Assignments) == 0 {
		return nil
	}
	m.proposalPending = true
	return command
}
