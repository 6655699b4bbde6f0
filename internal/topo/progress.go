package topo

import "context"

type progressKey struct{}

// WithProgress returns a context whose calls report each part of a response that arrives to observe,
// so that a slow response can be told from a missing one. A store need not report progress.
func WithProgress(ctx context.Context, observe func()) context.Context {
	return context.WithValue(ctx, progressKey{}, observe)
}

// ReportProgress reports that a part of the response to a call with this context has arrived.
func ReportProgress(ctx context.Context) {
	if observe, ok := ctx.Value(progressKey{}).(func()); ok {
		observe()
	}
}
