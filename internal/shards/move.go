package shards

// Reason is why a range is taken from its owner.
type Reason int

// The reasons of a move.
const (
	// OwnerLeaves means that the owner accepts no keys any more.
	OwnerLeaves Reason = iota
	// HeavyKey means that a key goes to a server with the capacity for it.
	HeavyKey
	// Surge means that the load of the owner has just grown.
	Surge
	// Balance means that the owner is above its fair load.
	Balance
	// IdleServer means that the next owner gets few requests for want of keys.
	IdleServer
	// Unfinished means that the owner saw a higher fence, of a release that was not
	// finished.
	Unfinished
	// Fencing means that the server may hold the keys by a change of owners that is lost.
	Fencing
)

// String names the reason for logs and metrics.
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
	case Unfinished:
		return "unfinished release"
	case Fencing:
		return "fencing"
	default:
		return "unknown"
	}
}

// Move says why a range moves, and the load, in requests within the long window, that its
// owner is expected to be relieved of; 0 if that is not what it moves for.
type Move struct {
	Reason Reason
	Load   float64
}
