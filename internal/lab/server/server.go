// Package server is the stand-in for a server that owns keys. It runs requests
// only under a grant, has a number of slots, sheds when they are full, and keeps
// a record of everything it ran for the checkers.
package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/holder"
)

// Options configures a server.
type Options struct {
	ID    string
	Slots int
	// Work is how long a request runs.
	Work time.Duration
	// ColdStart is how long each request takes longer at first; it shrinks to
	// nothing over ColdRequests requests.
	ColdStart    time.Duration
	ColdRequests int
	// Ungoverned runs requests of callers without any grant, to measure what
	// micahaven adds to a direct call. Such a server protects nothing.
	Ungoverned bool
}

// Effect is one request that took effect. Times are on the machine's boot clock,
// so those of several servers on one machine can be compared.
type Effect struct {
	Server         string `json:"server"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Key            string `json:"key"`
	Slice          uint32 `json:"slice"`
	Generation     uint64 `json:"generation"`
	Counter        uint64 `json:"counter"`
	AtNanos        int64  `json:"at_nanos"`
}

// Answer is the body of every answer: it repeats what identifies the request, so
// that callers can check that the answer is their own.
type Answer struct {
	Server string `json:"server"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Body   string `json:"body"`
	Count  int    `json:"count"`
}

// Load is what the load endpoint reports.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
	Owned   int `json:"owned_slices"`
	Total   int `json:"total"`
}

// Server is the stand-in.
type Server struct {
	options Options
	clock   clock.Clock

	mutex   sync.Mutex
	holder  *holder.Holder
	running int
	counts  map[string]int
	effects []Effect
	total   int
}

// New returns a server without grants.
func New(options Options) *Server {
	return &Server{
		options: options,
		clock:   clock.Boot,
		holder:  holder.New(randomNumber),
		counts:  make(map[string]int),
	}
}

func randomNumber() uint64 {
	var raw [8]byte
	// crypto/rand.Read never fails on the supported platforms.
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}

// Register adds the routes.
func (s *Server) Register(server *echo.Echo) {
	server.POST(backend.SessionPath, s.session)
	server.GET("/micahaven/effects", s.listEffects)
	server.GET("/micahaven/load", s.load)
	if s.options.Ungoverned {
		server.Any("/:service/:key", s.runDirectly)
		return
	}
	server.Any("/*", s.run)
}

func (s *Server) session(c echo.Context) error {
	var message holder.Message
	if err := json.NewDecoder(c.Request().Body).Decode(&message); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	s.mutex.Lock()
	reply := s.holder.Handle(s.clock(), &message)
	s.mutex.Unlock()
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) listEffects(c echo.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return c.JSON(http.StatusOK, s.effects)
}

func (s *Server) load(c echo.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return c.JSON(http.StatusOK, Load{
		Running: s.running,
		Slots:   s.options.Slots,
		Owned:   s.holder.Owned(s.clock()),
		Total:   s.total,
	})
}

// run executes a request under the grant that it names.
func (s *Server) run(c echo.Context) error {
	header := c.Request().Header
	slice, err := strconv.ParseUint(header.Get(backend.HeaderSlice), 10, 32)
	if err != nil {
		return c.String(http.StatusBadRequest, "header "+backend.HeaderSlice+": "+err.Error())
	}
	fence, err := backend.ParseFence(header.Get(backend.HeaderFence))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	effect := Effect{
		Server:         s.options.ID,
		RequestID:      header.Get(backend.HeaderRequestID),
		IdempotencyKey: header.Get(backend.HeaderIdempotencyKey),
		Key:            header.Get(backend.HeaderKey),
		Slice:          uint32(slice),
		Generation:     fence.GetGeneration(),
		Counter:        fence.GetCounter(),
	}
	refused, work := s.begin(&effect)
	if refused != "" {
		return refuse(c, refused)
	}
	sleep(c.Request().Context(), work)
	count, done := s.finish(&effect)
	if !done {
		return refuse(c, backend.RefusedNotOwner)
	}
	return c.JSON(http.StatusOK, Answer{
		Server: s.options.ID,
		Key:    effect.Key,
		Method: c.Request().Method,
		Body:   string(body),
		Count:  count,
	})
}

// runDirectly answers a caller's request without a grant, as an owner would.
func (s *Server) runDirectly(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	sleep(c.Request().Context(), s.options.Work)
	c.Response().Header().Set(entry.HeaderOutcome, entry.OutcomeDone)
	return c.JSON(http.StatusOK, Answer{
		Server: s.options.ID,
		Key:    c.Param("key"),
		Method: c.Request().Method,
		Body:   string(body),
	})
}

func refuse(c echo.Context, why string) error {
	c.Response().Header().Set(backend.HeaderRefused, why)
	return c.String(http.StatusServiceUnavailable, why+"\n")
}

// begin checks the grant and takes a slot.
func (s *Server) begin(effect *Effect) (refused string, work time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.mayRun(effect) {
		return backend.RefusedNotOwner, 0
	}
	if s.running >= s.options.Slots {
		return backend.RefusedShed, 0
	}
	s.running++
	s.total++
	s.holder.Begin(effect.Slice)
	work = s.options.Work
	if s.total < s.options.ColdRequests {
		left := s.options.ColdRequests - s.total
		work += s.options.ColdStart * time.Duration(left) / time.Duration(s.options.ColdRequests)
	}
	return "", work
}

// finish checks the grant again, just before the effect, and records it.
func (s *Server) finish(effect *Effect) (count int, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.holder.End(effect.Slice)
	if !s.mayRun(effect) {
		return 0, false
	}
	effect.AtNanos = int64(s.clock())
	s.effects = append(s.effects, *effect)
	s.counts[effect.Key]++
	return s.counts[effect.Key], true
}

func (s *Server) mayRun(effect *Effect) bool {
	fence := fenceOf(effect)
	return s.holder.MayRun(s.clock(), effect.Slice, fence)
}

// sleep stands for the work. A caller that goes away ends it early; the effect
// still takes place, as the request was accepted.
func sleep(ctx context.Context, length time.Duration) {
	if length == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
