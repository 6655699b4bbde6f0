package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// TestRowsOfAShownServiceAreTaken writes a row after the table showed its
// service, while the node's groups have yet to take that table in.
func TestRowsOfAShownServiceAreTaken(t *testing.T) {
	n := newLoneNode(t)
	item := policyItem(t)
	published := make(chan struct{})
	n.newsMutex.Lock()
	defer func() {
		n.newsMutex.Unlock()
		<-published
	}()
	go func() {
		n.exchange.Publish([]*wire.GossipItem{item}, nil)
		close(published)
	}()
	for n.items.Get(table.PolicyKey(testedService)) == nil {
		time.Sleep(time.Millisecond)
	}
	shown := httptest.NewRecorder()
	n.operators.ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/api/v1/table", nil))
	if !strings.Contains(shown.Body.String(), testedService) {
		t.Fatalf("the table does not show the service: %s", shown.Body)
	}
	row := `{"service":"formula","site":"old","weight":1,"connection_limit":100,"slots":2}`
	request := httptest.NewRequest(http.MethodPut, "/api/v1/table/rows/formula/old", strings.NewReader(row))
	request.Header.Set("If-Match", "0")
	request.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	answer := httptest.NewRecorder()
	n.operators.ServeHTTP(answer, request)
	if answer.Code != http.StatusOK {
		t.Errorf("row of a shown service: %d %s, want 200", answer.Code, answer.Body)
	}
}
