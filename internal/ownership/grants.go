package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/identity"
)

// calls returns the session messages that are due.
func (m *Manager) calls(now time.Duration) []Call {
	var due []Call
	for id, known := range m.sessions {
		if known.spec.Address == "" || !known.isDue(now, m.options.CallTimeout) {
			continue
		}
		known.beginCall(now, m.options.SessionTTL)
		message := &holder.Message{
			Group:     m.options.Group,
			Challenge: known.challenge,
			TTL:       m.options.SessionTTL,
		}
		m.addGrants(id, message)
		due = append(due, Call{Server: id, Address: known.spec.Address, Sequence: known.sequence, Message: message})
	}
	slices.SortFunc(due, func(a, b Call) int { return cmp.Compare(a.Server, b.Server) })
	return due
}

func (m *Manager) addGrants(server identity.ServerID, message *holder.Message) {
	for slice := range m.slices {
		if m.owner(uint32(slice)) != server || !m.isOwnedBy(uint32(slice), m.sessions[server].instance) {
			continue
		}
		grant := holder.Grant{Slice: uint32(slice), Fence: m.state.Assignment(uint32(slice)).GetFence()}
		switch m.slices[slice].phase {
		case Granting:
			if message.Challenge != 0 {
				message.Grants = append(message.Grants, grant)
			}
		case Revoking:
			message.Revokes = append(message.Revokes, grant)
		}
	}
}

func (m *Manager) confirmGrants(server identity.ServerID, reply *holder.Reply) {
	for _, slice := range reply.Granted {
		if int(slice) >= len(m.slices) || m.owner(slice) != server || m.slices[slice].phase != Granting {
			continue
		}
		m.slices[slice].phase = Serving
		m.slices[slice].session = reply.Session
		m.markChanged(slice)
	}
}

func (m *Manager) confirmRevokes(server identity.ServerID, reply *holder.Reply) {
	for _, slice := range reply.Revoked {
		if int(slice) >= len(m.slices) || m.owner(slice) != server || m.slices[slice].phase != Revoking {
			continue
		}
		m.slices[slice].phase = Vacant
	}
}

// dropConfirmations sends slices back to Granting that an earlier session of
// the server had confirmed: the server has dropped those grants.
func (m *Manager) dropConfirmations(server identity.ServerID, session uint64) {
	for slice := range m.slices {
		control := &m.slices[slice]
		if m.owner(uint32(slice)) != server {
			continue
		}
		isConfirmed := control.phase == Serving || control.phase == Holding
		if isConfirmed && control.session != session {
			control.phase = Granting
			m.markChanged(uint32(slice))
		}
	}
}
