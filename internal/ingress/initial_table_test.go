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

// emptyConfig decodes a configuration without routes, in which every request gets 404.
type emptyConfig struct{}

func (emptyConfig) Table([]byte) (routing.Spec, error) { return routing.Spec{Version: 1}, nil }

func (emptyConfig) Server(string, []byte) (discovery.Server, error) { return discovery.Server{}, nil }

// unconfiguredNode returns a handler without a configuration, its URL, and a function that
// supplies the configuration.
func unconfiguredNode(t *testing.T) (handler *ingress.Handler, url string, configure func()) {
	t.Helper()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, emptyConfig{}, zap.NewNop())
	dispatcher := dispatch.New(dispatch.Options{RetryWindow: time.Second}, views, zap.NewNop())
	handler = ingress.NewHandler(ingress.Headers{Deadline: deadlineHeader}, views, dispatcher, zap.NewNop())
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return handler, server.URL, func() { views.Replace([]topo.Item{{Key: "table", Revision: 1}}, 1) }
}

// getStatus returns the status of a response, or 0 if the request failed.
func getStatus(ctx context.Context, t *testing.T, url, deadlineMillis string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	if deadlineMillis != "" {
		request.Header.Set(deadlineHeader, deadlineMillis)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// waitActive returns once the handler has the given number of requests in progress.
func waitActive(t *testing.T, handler *ingress.Handler, want int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); handler.Active() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are in progress, want %d", handler.Active(), want)
		}
	}
}

// After a power failure, clients send requests before the configuration has been loaded. These
// requests must wait for it instead of being refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	handler, url, configure := unconfiguredNode(t)
	statuses := make(chan int)
	go func() { statuses <- getStatus(t.Context(), t, url, "") }()
	waitActive(t, handler, 1)
	configure()
	if status := <-statuses; status != http.StatusNotFound {
		t.Errorf("status %d, want that of the configuration: 404", status)
	}
}

// A node that cannot reach the store refuses requests early enough for the client to try
// another node.
func TestRequestsAreRefusedWithoutAConfiguration(t *testing.T) {
	_, url, _ := unconfiguredNode(t)
	for _, deadlineMillis := range []string{"", "100"} {
		ctx := t.Context()
		if deadlineMillis != "" {
			limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			ctx = limited
		}
		if status := getStatus(ctx, t, url, deadlineMillis); status != http.StatusServiceUnavailable {
			t.Errorf("deadline %q: status %d, want 503", deadlineMillis, status)
		}
	}
}

func TestClientThatLeftDoesNotWaitForTheFirstConfiguration(t *testing.T) {
	handler, url, _ := unconfiguredNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	startedAt := time.Now()
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, url, nil))
	if elapsed := time.Since(startedAt); elapsed > 200*time.Millisecond {
		t.Errorf("returned %v after its client had left", elapsed)
	}
}

// Deadlines that overflow time.Duration or are not numbers must not be taken for deadlines in
// the past.
func TestOddDeadlinesAreNotTakenForPastOnes(t *testing.T) {
	for _, deadlineMillis := range []string{"Inf", "1e300", "NaN", "1e14"} {
		handler, url, configure := unconfiguredNode(t)
		statuses := make(chan int)
		go func() { statuses <- getStatus(t.Context(), t, url, deadlineMillis) }()
		// A request whose deadline is taken for a past one is refused within this time.
		time.Sleep(50 * time.Millisecond)
		if handler.Active() == 1 {
			configure()
		}
		if status := <-statuses; status != http.StatusNotFound {
			t.Errorf("deadline %q: status %d, want that of the configuration: 404", deadlineMillis, status)
		}
	}
}
