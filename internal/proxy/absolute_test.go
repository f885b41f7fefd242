package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// A target in absolute form is what RFC 9112, 3.2.2 has a server take: it goes on in origin form, as it came.
func TestATargetInAbsoluteFormIsServed(t *testing.T) {
	targets := make(chan string, 1)
	p, _ := serving(t, func(w io.Writer, r *http.Request, _ int) bool {
		targets <- r.RequestURI
		_, _ = io.WriteString(w, served)
		return true
	})
	for _, c := range []struct {
		target, want string
	}{
		{"http://backend.local/look/k%2f1?x=%20y", "/look/k%2f1?x=%20y"},
		{"http://backend.local:80/look/k", "/look/k"},
		{"HTTP://backend.local/look/k?", "/look/k?"},
		{"http://backend.local/other/k", ""},
		{"http://backend.local", ""},
		{"ftp://backend.local/look/k", ""},
	} {
		cl := connect(t, p)
		cl.send(t, strings.Replace(look("1", 4000), "/look/k", c.target, 1))
		resp, _ := cl.answer(t)
		switch {
		case c.want == "" && resp.StatusCode != http.StatusBadRequest:
			t.Errorf("%s: got %s", c.target, resp.Status)
		case c.want != "" && resp.StatusCode != http.StatusOK:
			t.Errorf("%s: got %s", c.target, resp.Status)
		case c.want != "":
			if got := <-targets; got != c.want {
				t.Errorf("%s went on as %s", c.target, got)
			}
		}
		cl.Close()
	}
}
