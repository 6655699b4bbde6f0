package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/micahaven/micahaven/internal/upstream"
)

// Guards against a HEAD response with Content-Length: 0, which indicates to the client that the
// resource is empty.
func TestContentLengthOfAnAnswer(t *testing.T) {
	cases := map[string]struct {
		method   string
		status   int
		declared []string
		body     string
		want     []string
	}{
		"HEAD with a length":    {method: http.MethodHead, status: http.StatusOK, declared: []string{"1234"}, want: []string{"1234"}},
		"HEAD without a length": {method: http.MethodHead, status: http.StatusOK},
		"GET":                   {method: http.MethodGet, status: http.StatusOK, declared: []string{"4"}, body: "body", want: []string{"4"}},
		"GET in chunks":         {method: http.MethodGet, status: http.StatusOK, body: "body", want: []string{"4"}},
		"empty":                 {method: http.MethodPost, status: http.StatusOK, declared: []string{"0"}, want: []string{"0"}},
		"no content":            {method: http.MethodGet, status: http.StatusNoContent},
		"not modified":          {method: http.MethodGet, status: http.StatusNotModified},
	}
	for name, c := range cases {
		header := http.Header{}
		if c.declared != nil {
			header["Content-Length"] = c.declared
		}
		recorder := httptest.NewRecorder()
		reply := &upstream.Response{Status: c.status, Header: header, Body: []byte(c.body)}
		pacedHandler().reply(recorder, c.method, reply, nil)
		got := recorder.Result().Header["Content-Length"]
		if len(got) != len(c.want) || (len(got) > 0 && got[0] != c.want[0]) {
			t.Errorf("%s: Content-Length %q, want %q", name, got, c.want)
		}
	}
}
