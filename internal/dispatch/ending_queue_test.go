package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// freePlaces gives a server's places back and lets requests that wait have them.
func freePlaces(d *Dispatcher, id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for known, s := range d.servers {
		if string(known) == id {
			s.outstanding = 0
			d.pump(s.Service)
		}
	}
}

// A request that came before the node was told to stop, and gets a server after that,
// has no more time than one that came later: its server is told so.
func TestServersOfQueuedRequestsAreToldWhenTheNodeEnds(t *testing.T) {
	serve, told := telling()
	d, _ := stopping(t, serve)
	d.server("a").outstanding = 100
	const left = 10 * time.Second
	time.AfterFunc(50*time.Millisecond, func() {
		d.EndBy(time.Now().Add(left))
		freePlaces(d, "a")
	})
	request := patient()
	request.ID = ""
	if _, _, err := d.Do(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if latest := (left - answerMargin).Milliseconds(); told.Load() <= 0 || told.Load() > latest {
		t.Errorf("server was told %d ms, at most %d are left", told.Load(), latest)
	}
}

// The same request is refused, and reaches no server, if its answer would come too late.
func TestHopelessQueuedRequestOfAStoppingNodeReachesNoServer(t *testing.T) {
	d, arrived := stopping(t, untilLeft)
	d.server("a").outstanding, d.server("a").latency = 100, 40
	request := patient()
	time.AfterFunc(50*time.Millisecond, func() {
		d.EndBy(time.Now().Add(time.Second))
		freePlaces(d, "a")
	})
	_, _, err := d.Do(context.Background(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if outstanding := d.server("a").outstanding; outstanding != 0 {
		t.Errorf("%d places at the server are still taken", outstanding)
	}
}

// A place that a hopeless request gives back goes to the next one at once.
func TestPlaceOfAHopelessRequestGoesToTheNext(t *testing.T) {
	d, arrived := stopping(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
	})
	a := d.server("a")
	a.limit, a.outstanding, a.latency = limit{value: 1}, 1, 0.001
	results := make(chan error, 2)
	queue := func(request *Request, waiting int) {
		request.ID = ""
		go func() {
			_, _, err := d.Do(context.Background(), request)
			results <- err
		}()
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			d.mutex.Lock()
			count := d.countWaiting()
			d.mutex.Unlock()
			if count == waiting {
				return
			}
		}
		t.Fatalf("no %d requests wait", waiting)
	}
	queue(patient(), 1)
	// The second one has less time than the node, and so may be served to the last.
	brief := patient()
	brief.Deadline = time.Now().Add(5 * time.Second)
	queue(brief, 2)
	d.EndBy(time.Now().Add(30 * time.Second))
	d.mutex.Lock()
	a.latency = 40
	d.mutex.Unlock()
	freePlaces(d, "a")
	served, refused := 0, 0
	for range 2 {
		switch err := <-results; {
		case err == nil:
			served++
		case errors.Is(err, ErrNotExecuted):
			refused++
		}
	}
	if served != 1 || refused != 1 || arrived.Load() != 1 {
		t.Errorf("%d served, %d refused, %d at the server, want one each", served, refused, arrived.Load())
	}
}
