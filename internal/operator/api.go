// Package operator serves the operators' interface of a node over HTTP: the
// table, the state of the groups, metrics and health.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/micahaven/micahaven/internal/gossip"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
)

// API serves the operators.
type API struct {
	Node   string
	Zone   string
	Tokens *Tokens
	// Table returns the table that Items hold, so that a change is checked
	// against what operators were shown.
	Table    func() *table.Table
	Items    *gossip.Items
	Store    *tablestore.Tablestore
	Groups   func() []*group.Group
	Machines func() []machines.Machine
	// Services returns the state of every group as its leader sees it.
	Services func(ctx context.Context) []group.Status
}

// Failure is the body of every answer that is not a success.
type Failure struct {
	Error string `json:"error"`
	// Current is the entry as it stands, after a conflict.
	Current *tablestore.Entry `json:"current,omitempty"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Node     string             `json:"node"`
	Zone     string             `json:"zone"`
	Version  string             `json:"items_version"`
	Groups   []group.Status     `json:"groups"`
	Machines []machines.Machine `json:"machines"`
}

// TableView is the table with the revision of each entry.
type TableView struct {
	Services []tablestore.Entry `json:"services"`
	Rows     []tablestore.Entry `json:"rows"`
}

const (
	maxChangeBytes = "64K"
	storeTimeout   = 5 * time.Second
	bearerPrefix   = "Bearer "
)

// Register adds the operators' routes and page.
func (a *API) Register(server *echo.Echo) error {
	server.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/metrics", echo.WrapHandler(promhttp.Handler()))
	server.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	server.GET("/debug/pprof/heap", echo.WrapHandler(pprof.Handler("heap")))
	api := server.Group("/api/v1", middleware.BodyLimit(maxChangeBytes))
	api.GET("/status", a.status)
	api.GET("/services", a.services)
	api.GET("/table", a.table)
	api.GET("/table/history", a.history)
	api.PUT("/table/rows/:service/:site", a.putRow)
	api.DELETE("/table/rows/:service/:site", a.deleteRow)
	api.PUT("/table/services/:service", a.putPolicy)
	return registerPage(server)
}

func (a *API) status(c echo.Context) error {
	status := NodeStatus{
		Node:     a.Node,
		Zone:     a.Zone,
		Version:  strconv.FormatUint(a.Items.Hash(), 16),
		Machines: a.Machines(),
	}
	for _, known := range a.Groups() {
		status.Groups = append(status.Groups, known.Status())
	}
	return c.JSON(http.StatusOK, status)
}

func (a *API) services(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, a.Services(ctx))
}

// table answers from what this node knows, so it works while the key-value
// service is down.
func (a *API) table(c echo.Context) error {
	view := TableView{}
	for _, item := range a.Items.WithPrefix(table.Prefix) {
		entry := tablestore.Entry{Revision: int64(item.GetMajor())}
		if err := json.Unmarshal(item.GetValue(), &entry.Change); err != nil {
			continue
		}
		if entry.Policy != nil {
			view.Services = append(view.Services, entry)
		} else {
			view.Rows = append(view.Rows, entry)
		}
	}
	return c.JSON(http.StatusOK, view)
}

func (a *API) history(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	entries, err := a.Store.History(ctx)
	if err != nil {
		return a.fail(c, err)
	}
	return c.JSON(http.StatusOK, entries)
}

func (a *API) putRow(c echo.Context) error {
	row := &table.Row{}
	if err := decodeStrict(c, row); err != nil {
		return a.fail(c, err)
	}
	if err := matchName("service", c.Param("service"), string(row.Service)); err != nil {
		return a.fail(c, err)
	}
	if err := matchName("site", c.Param("site"), row.Site); err != nil {
		return a.fail(c, err)
	}
	if err := row.Validate(); err != nil {
		return a.fail(c, err)
	}
	if a.Table().Policy(row.Service) == nil {
		return a.fail(c, errors.Wrapf(table.ErrInvalid, "field service: %s, allowed: a service with a policy", row.Service))
	}
	return a.put(c, table.Change{Row: row})
}

func (a *API) deleteRow(c echo.Context) error {
	row := a.Table().Row(identity.ServiceName(c.Param("service")), c.Param("site"))
	if row == nil {
		return c.JSON(http.StatusNotFound, Failure{Error: "no such row"})
	}
	return a.put(c, table.Change{Row: row, Deleted: true})
}

func (a *API) putPolicy(c echo.Context) error {
	policy := &table.Policy{}
	if err := decodeStrict(c, policy); err != nil {
		return a.fail(c, err)
	}
	if err := matchName("service", c.Param("service"), string(policy.Service)); err != nil {
		return a.fail(c, err)
	}
	if err := policy.Validate(); err != nil {
		return a.fail(c, err)
	}
	present := a.Table().Policy(policy.Service)
	if present != nil && present.Slices != policy.Slices {
		return a.fail(c, errors.Wrapf(table.ErrInvalid, "field slices: %d, allowed: %d, because keys are placed by it", policy.Slices, present.Slices))
	}
	return a.put(c, table.Change{Policy: policy})
}

// put makes a change for an operator. The If-Match header carries the revision
// that the operator saw, 0 for a new entry.
func (a *API) put(c echo.Context, change table.Change) error {
	token := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix)
	author, known := a.Tokens.Author(token)
	if !known {
		return c.JSON(http.StatusUnauthorized, Failure{Error: "header Authorization: allowed: Bearer and an operator's token"})
	}
	change.Author = author
	text := strings.Trim(c.Request().Header.Get("If-Match"), `"`)
	expected, err := strconv.ParseInt(text, 10, 64)
	if err != nil || expected < 0 {
		return a.fail(c, errors.Wrapf(table.ErrInvalid, "header If-Match: %q, allowed: the revision you saw, 0 for a new entry", text))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeTimeout)
	defer cancel()
	entry, err := a.Store.Put(ctx, change, expected)
	if err != nil {
		return a.fail(c, err)
	}
	return c.JSON(http.StatusOK, entry)
}

// fail turns errors of the layers below into answers.
func (a *API) fail(c echo.Context, err error) error {
	var conflict *tablestore.Conflict
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, Failure{Error: conflict.Error(), Current: conflict.Current})
	case errors.Is(err, table.ErrInvalid):
		return c.JSON(http.StatusBadRequest, Failure{Error: err.Error()})
	case errors.Is(err, tablestore.ErrUnsettled):
		return c.JSON(http.StatusGatewayTimeout, Failure{Error: err.Error()})
	default:
		return c.JSON(http.StatusServiceUnavailable, Failure{Error: err.Error()})
	}
}

func decodeStrict(c echo.Context, into any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrapf(table.ErrInvalid, "body: %v", err)
	}
	return nil
}

func matchName(field, inPath, inBody string) error {
	if inPath != inBody {
		return errors.Wrapf(table.ErrInvalid, "field %s: %q, allowed: %q as in the path", field, inBody, inPath)
	}
	return nil
}
