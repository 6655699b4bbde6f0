package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/store/etcdjson"
)

// Faults is what can be switched on. It is read and replaced as JSON at /faults.
type Faults struct {
	// Down refuses every call to the key-value service and ends all watches.
	Down bool `json:"down"`
	// MachinesDown refuses every call for the machine list.
	MachinesDown bool `json:"machines_down"`
	// SlowMillis delays every answer of the key-value service.
	SlowMillis int `json:"slow_millis"`
	// LoseAnswers is the number of coming changes that take effect but whose
	// answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// CallsPerSecond limits all callers together; 0 means no limit.
	CallsPerSecond float64 `json:"calls_per_second"`
	// LagMillis delays changes of the machine list.
	LagMillis int `json:"lag_millis"`
}

// Platform is the stand-in. Register its routes on a server.
type Platform struct {
	keyValue *keyValue

	mutex   sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	// cut is closed and replaced to end all watches.
	cut  chan struct{}
	list []listing
}

// listing is one change of the machine list.
type listing struct {
	machine machines.Machine
	removed bool
	at      time.Time
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		keyValue: newKeyValue(),
		limiter:  rate.NewLimiter(rate.Inf, 1),
		cut:      make(chan struct{}),
	}
}

// Register adds the routes.
func (p *Platform) Register(server *echo.Echo) {
	gateway := server.Group("", p.injectFaults)
	gateway.POST(etcdjson.PathRange, p.handleRange)
	gateway.POST(etcdjson.PathTxn, p.handleTxn)
	gateway.POST(etcdjson.PathWatch, p.handleWatch)
	server.GET("/machines", p.getMachines)
	server.PUT("/machines/:id", p.putMachine)
	server.DELETE("/machines/:id", p.deleteMachine)
	server.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, p.currentFaults()) })
	server.PUT("/faults", p.putFaults)
	server.POST("/faults/cut-watches", p.cutWatches)
	server.POST("/faults/compact", p.compactHistory)
}

func (p *Platform) currentFaults() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

func (p *Platform) putFaults(c echo.Context) error {
	var faults Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	p.mutex.Lock()
	p.faults = faults
	limit := rate.Inf
	if faults.CallsPerSecond > 0 {
		limit = rate.Limit(faults.CallsPerSecond)
	}
	p.limiter = rate.NewLimiter(limit, max(1, int(faults.CallsPerSecond)))
	p.mutex.Unlock()
	if faults.Down {
		p.endWatches()
	}
	return c.JSON(http.StatusOK, faults)
}

func (p *Platform) cutWatches(c echo.Context) error {
	p.endWatches()
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) compactHistory(c echo.Context) error {
	p.keyValue.compact()
	p.endWatches()
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) endWatches() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.cut)
	p.cut = make(chan struct{})
}

// injectFaults refuses or delays calls to the key-value service.
func (p *Platform) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.mutex.Lock()
		faults, limiter := p.faults, p.limiter
		p.mutex.Unlock()
		if faults.Down {
			return c.String(http.StatusServiceUnavailable, "down")
		}
		if !limiter.Allow() {
			return c.String(http.StatusTooManyRequests, "rate limit")
		}
		if err := pause(c.Request().Context(), time.Duration(faults.SlowMillis)*time.Millisecond); err != nil {
			return err
		}
		return next(c)
	}
}

func pause(ctx context.Context, length time.Duration) error {
	if length == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

func (p *Platform) handleRange(c echo.Context) error {
	var request etcdjson.RangeRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, p.keyValue.list(request))
}

func (p *Platform) handleTxn(c echo.Context) error {
	var request etcdjson.TxnRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	response := p.keyValue.transact(request)
	if p.losesAnswer() {
		return c.String(http.StatusGatewayTimeout, "answer lost")
	}
	return c.JSON(http.StatusOK, response)
}

func (p *Platform) losesAnswer() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) handleWatch(c echo.Context) error {
	var request etcdjson.WatchRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	p.mutex.Lock()
	cut := p.cut
	p.mutex.Unlock()
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	create := request.Create
	send := func(result etcdjson.WatchResult) error {
		if err := encoder.Encode(etcdjson.WatchResponse{Result: result}); err != nil {
			return err
		}
		c.Response().Flush()
		return nil
	}
	if err := send(etcdjson.WatchResult{Created: true}); err != nil {
		return err
	}
	for ctx.Err() == nil {
		events, revision, compacted := p.keyValue.since(ctx, create)
		if compacted > 0 {
			return send(etcdjson.WatchResult{Canceled: true, CompactRevision: compacted})
		}
		if len(events) == 0 {
			continue
		}
		if err := send(etcdjson.WatchResult{Header: etcdjson.Header{Revision: revision}, Events: events}); err != nil {
			return err
		}
		create.StartRevision = revision + 1
	}
	return nil
}

func (p *Platform) getMachines(c echo.Context) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.MachinesDown {
		return c.String(http.StatusServiceUnavailable, "down")
	}
	lag := time.Duration(p.faults.LagMillis) * time.Millisecond
	visible := []machines.Machine{}
	for _, change := range p.list {
		if time.Since(change.at) < lag {
			continue
		}
		visible = slices.DeleteFunc(visible, func(m machines.Machine) bool { return m.ID == change.machine.ID })
		if !change.removed {
			visible = append(visible, change.machine)
		}
	}
	return c.JSON(http.StatusOK, visible)
}

func (p *Platform) putMachine(c echo.Context) error {
	var machine machines.Machine
	if err := json.NewDecoder(c.Request().Body).Decode(&machine); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	machine.ID = c.Param("id")
	p.change(listing{machine: machine, at: time.Now()})
	return c.JSON(http.StatusOK, machine)
}

func (p *Platform) deleteMachine(c echo.Context) error {
	p.change(listing{machine: machines.Machine{ID: c.Param("id")}, removed: true, at: time.Now()})
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) change(change listing) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.list = append(p.list, change)
}
