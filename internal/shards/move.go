package shards

// Reason is why a range is taken from its owner.
type Reason int

// The reasons for a move.
const (
	// OwnerLeaves means that the owner no longer accepts keys.
	OwnerLeaves Reason = iota
	// HeavyKey means that a heavy key goes to a server with the capacity for it.
	HeavyKey
	// Surge means that the load of the owner has grown within the last seconds.
	Surge
	// Balance means that the owner is above its fair load.
	Balance
	// IdleServer means that the next owner has no keys or gets too few requests for the keys it
	// has.
	IdleServer
	// UnfinishedRelease means that the owner has seen a higher fence, that of a release that
	// was not completed.
	UnfinishedRelease
	// Fencing means that the server may hold the keys because of a lost change of owners.
	Fencing
	// ReachCheck means that the server does not hold the keys, and is asked only for an answer.
	ReachCheck
)

// String returns the name of the reason for logs and metrics.
func (r Reason) String() string {
	switch r {
	case OwnerLeaves:
		return "owner leaves"
	case HeavyKey:
		return "heavy key"
	case Surge:
		return "surge"
	case Balance:
		return "balance"
	case IdleServer:
		return "idle server"
	case UnfinishedRelease:
		return "unfinished release"
	case Fencing:
		return "fencing"
	case ReachCheck:
		return "reach check"
	default:
		return "unknown"
	}
}

// Move describes why a range moves and by how much load its owner is expected to be relieved,
// in requests within the long window; Load is 0 if the move is not meant to relieve the owner.
type Move struct {
	Reason Reason
	Load   float64
}
