package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/store/etcdjson"
	"github.com/micahaven/micahaven/internal/table"
)

// input is an operation on the one row of the test.
type input struct {
	isPut    bool
	expected int64
}

type output struct {
	isRefused bool
	revision  int64
}

// rowModel is a register that holds a revision; a put takes effect only from the
// revision that it expects, and is refused from any other.
var rowModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		current, operation, result := state.(int64), in.(input), out.(output)
		switch {
		case !operation.isPut:
			return result.revision == current, current
		case result.isRefused:
			return current != operation.expected, current
		default:
			return current == operation.expected, result.revision
		}
	},
}

func startPlatform(t *testing.T) (*Tablestore, func(platform.Faults)) {
	t.Helper()
	router := echo.New()
	platform.New().Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	setFaults := func(faults platform.Faults) {
		text, err := json.Marshal(faults)
		if err != nil {
			t.Error(err)
			return
		}
		request, err := http.NewRequest(http.MethodPut, server.URL+"/faults", bytes.NewReader(text))
		if err != nil {
			t.Error(err)
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			return
		}
		_ = response.Body.Close()
	}
	return New(etcdjson.New([]string{server.URL}, http.DefaultClient, 10000), zap.NewNop()), setFaults
}

// TestOperatorsChangesAreLinearizable lets operators race for one row while the
// key-value service loses answers after the change took effect. Every accepted
// change must have come from the revision that its operator saw.
func TestOperatorsChangesAreLinearizable(t *testing.T) {
	const operators, rounds = 4, 12
	rows, setFaults := startPlatform(t)
	started := time.Now()
	var mutex sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in input, call time.Duration, out output) {
		mutex.Lock()
		defer mutex.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(started)),
		})
	}
	var racing sync.WaitGroup
	for operator := range operators {
		racing.Go(func() {
			for round := range rounds {
				if operator == 0 && round%3 == 0 {
					setFaults(platform.Faults{LoseAnswers: 2})
				}
				seen := readRevision(t, rows, operator, record, started)
				row := &table.Row{Service: "formula", Site: "old", Weight: float64(round), ConnectionLimit: 100, Slots: 2}
				call := time.Since(started)
				entry, err := rows.Put(context.Background(), table.Change{Row: row, Author: fmt.Sprint(operator)}, seen)
				record(operator, input{isPut: true, expected: seen}, call, outputOf(t, entry, err))
			}
		})
	}
	racing.Wait()
	if !porcupine.CheckOperations(rowModel, history) {
		t.Errorf("the history of %d operations is not linearizable", len(history))
	}
}

func readRevision(t *testing.T, rows *Tablestore, operator int, record func(int, input, time.Duration, output), started time.Time) int64 {
	call := time.Since(started)
	entry, err := rows.Get(context.Background(), table.RowKey("formula", "old"))
	if err != nil {
		t.Error(err)
		return 0
	}
	revision := int64(0)
	if entry != nil {
		revision = entry.Revision
	}
	record(operator, input{}, call, output{revision: revision})
	return revision
}

func outputOf(t *testing.T, entry *Entry, err error) output {
	var refused *Conflict
	if errors.As(err, &refused) {
		return output{isRefused: true}
	}
	if err != nil {
		t.Errorf("the service answers again, but the change is unsettled: %v", err)
		return output{}
	}
	return output{revision: entry.Revision}
}
