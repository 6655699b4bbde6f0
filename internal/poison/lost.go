package poison

import "go.uber.org/zap"

// maxLoggedURI bounds the part of a URI that is logged, in bytes.
const maxLoggedURI = 256

// lostRequest is a request that was lost in a crash, with the log fields that let an operator
// recognize it.
type lostRequest struct {
	digests digests
	fields  []zap.Field
}

// LossPoint is how far a response had come when its server crashed.
type LossPoint string

// Points at which a server may crash.
const (
	BeforeResponse LossPoint = "before the response"
	DuringResponse LossPoint = "during the response"
)

func newLostRequest(request Request, point LossPoint) lostRequest {
	return lostRequest{digests: digestsOf(request), fields: []zap.Field{
		zap.String("point", string(point)), zap.String("service", request.Service), zap.String("method", request.Method), zap.String("host", request.Host),
		zap.String("uri", request.URI[:min(len(request.URI), maxLoggedURI)]), zap.String("tenant", request.Tenant), zap.String("key", request.Key),
		zap.String("client", request.ClientAddress), zap.Int("body_bytes", len(request.Body)),
	}}
}
