package ingress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/ingress"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

const deadlineHeader = "Test-Deadline"

// noRoutes is a configuration in which each request gets 404.
type noRoutes struct{}

func (noRoutes) Table([]byte) (routing.Spec, error) { return routing.Spec{Version: 1}, nil }

func (noRoutes) Server(string, []byte) (discovery.Server, error) { return discovery.Server{}, nil }

// startingNode returns the address of a node without a configuration, and what brings it one.
func startingNode(t *testing.T) (handler *ingress.Handler, url string, configure func()) {
	t.Helper()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, noRoutes{}, zap.NewNop())
	dispatcher := dispatch.New(dispatch.Options{RetryWindow: time.Second}, views, zap.NewNop())
	handler = ingress.NewHandler(ingress.Headers{Deadline: deadlineHeader}, views, dispatcher, zap.NewNop())
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return handler, server.URL, func() { views.Replace([]topo.Item{{Key: "table", Revision: 1}}, 1) }
}

// ask returns the status of an answer, or 0 without one.
func ask(ctx context.Context, t *testing.T, url, deadlineMillis string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	if deadlineMillis != "" {
		request.Header.Set(deadlineHeader, deadlineMillis)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// waitActive returns once the handler has a number of requests.
func waitActive(t *testing.T, handler *ingress.Handler, want int) {
	t.Helper()
	for patience := time.Now().Add(5 * time.Second); handler.Active() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(patience) {
			t.Fatalf("%d requests are being served, want %d", handler.Active(), want)
		}
	}
}

// After a loss of power callers are there before the configuration is. They must be
// served with it, not sent away for longer than it takes.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	handler, url, configure := startingNode(t)
	statuses := make(chan int)
	go func() { statuses <- ask(t.Context(), t, url, "") }()
	waitActive(t, handler, 1)
	configure()
	if status := <-statuses; status != http.StatusNotFound {
		t.Errorf("answered with %d, want what the configuration says: 404", status)
	}
}

// A node that cannot reach the store says so, while the client can still go elsewhere.
func TestRequestsAreRefusedWithoutAConfiguration(t *testing.T) {
	_, url, _ := startingNode(t)
	for _, deadlineMillis := range []string{"", "100"} {
		ctx := t.Context()
		if deadlineMillis != "" {
			bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			ctx = bounded
		}
		if status := ask(ctx, t, url, deadlineMillis); status != http.StatusServiceUnavailable {
			t.Errorf("deadline %q: answered with %d, want 503", deadlineMillis, status)
		}
	}
}

func TestClientThatLeftDoesNotWaitForTheFirstConfiguration(t *testing.T) {
	handler, url, _ := startingNode(t)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	began := time.Now()
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, url, nil))
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("kept for %v after its client had left", took)
	}
}

// Odd deadlines are longer than any time that a node could count, or none at all.
func TestOddDeadlinesAreNotTakenForPastOnes(t *testing.T) {
	for _, deadlineMillis := range []string{"Inf", "1e300", "NaN", "1e14"} {
		handler, url, configure := startingNode(t)
		statuses := make(chan int)
		go func() { statuses <- ask(t.Context(), t, url, deadlineMillis) }()
		// A request whose deadline is taken for a past one is refused within this time.
		time.Sleep(50 * time.Millisecond)
		if handler.Active() == 1 {
			configure()
		}
		if status := <-statuses; status != http.StatusNotFound {
			t.Errorf("deadline %q: answered with %d, want what the configuration says: 404", deadlineMillis, status)
		}
	}
}
