// Package machines reads the platform's list of machines. The list lags behind, so it is a hint
// about which machines exist and never proves that one is gone.
package machines

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/identity"
)

// Kind is the kind of a machine: a node or a server.
type Kind string

// The kinds of machine.
const (
	KindNode   Kind = "node"
	KindServer Kind = "server"
)

// State is the state of a machine as the platform reports it.
type State string

// The states of a machine.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	ID      string               `json:"id"`
	Kind    Kind                 `json:"kind"`
	Service identity.ServiceName `json:"service,omitempty"`
	Site    string               `json:"site,omitempty"`
	Zone    string               `json:"zone"`
	// Address is a host:port, at which a node speaks the inter-node protocol and a server HTTP.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("machine list unavailable")

// Source reads the list.
type Source interface {
	Read(ctx context.Context) ([]Machine, error)
}

// HTTPSource reads the list from a URL as a JSON array.
type HTTPSource struct {
	URL    string
	Client *http.Client
}

// maxListBytes bounds the list that is read.
const maxListBytes = 16 << 20

// Read implements Source.
func (s *HTTPSource) Read(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "machine list URL %s", s.URL)
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "%s answered %s", s.URL, response.Status)
	}
	var listed []Machine
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&listed); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return listed, nil
}
