package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/micahaven/micahaven/internal/upstream"
)

// Guards against telling a client that asked with HEAD that the resource is empty.
func TestContentLengthOfAnAnswer(t *testing.T) {
	cases := map[string]struct {
		method string
		status int
		named  []string
		body   string
		want   []string
	}{
		"HEAD with a length":    {method: http.MethodHead, status: http.StatusOK, named: []string{"1234"}, want: []string{"1234"}},
		"HEAD without a length": {method: http.MethodHead, status: http.StatusOK},
		"GET":                   {method: http.MethodGet, status: http.StatusOK, named: []string{"4"}, body: "body", want: []string{"4"}},
		"GET in chunks":         {method: http.MethodGet, status: http.StatusOK, body: "body", want: []string{"4"}},
		"empty":                 {method: http.MethodPost, status: http.StatusOK, named: []string{"0"}, want: []string{"0"}},
		"no content":            {method: http.MethodGet, status: http.StatusNoContent},
		"not modified":          {method: http.MethodGet, status: http.StatusNotModified},
	}
	for name, c := range cases {
		header := http.Header{}
		if c.named != nil {
			header["Content-Length"] = c.named
		}
		recorder := httptest.NewRecorder()
		answer := &upstream.Answer{Status: c.status, Header: header, Body: []byte(c.body)}
		pacedHandler().answer(recorder, c.method, answer, nil)
		got := recorder.Result().Header["Content-Length"]
		if len(got) != len(c.want) || (len(got) > 0 && got[0] != c.want[0]) {
			t.Errorf("%s: Content-Length %q, want %q", name, got, c.want)
		}
	}
}
