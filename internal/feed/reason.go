package feed

// WatchReason is the reason for which a node watches the store itself.
type WatchReason int

const (
	// ReasonNone means that the node follows its upstream and does not watch the store.
	ReasonNone WatchReason = iota
	// ReasonRoot means that it watches the store for all nodes.
	ReasonRoot
	// ReasonNoUpstream means that it has no node to follow.
	ReasonNoUpstream
	// ReasonNoCopy means that its copy is not complete yet.
	ReasonNoCopy
	// ReasonUnconfirmed means that its copy has not been confirmed for too long.
	ReasonUnconfirmed
	// ReasonUpstreamsFailed means that several upstreams in a row failed.
	ReasonUpstreamsFailed
	// ReasonBehind means that it lacks changes that its upstream has.
	ReasonBehind
)

// String returns the name of the reason in logs and metrics.
func (r WatchReason) String() string {
	switch r {
	case ReasonRoot:
		return "root"
	case ReasonNoUpstream:
		return "no upstream"
	case ReasonNoCopy:
		return "no copy"
	case ReasonUnconfirmed:
		return "copy not confirmed"
	case ReasonUpstreamsFailed:
		return "upstreams failed"
	case ReasonBehind:
		return "behind upstream"
	default:
		return "none"
	}
}
