package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"merlinpick/balancer"
)

const (
	// The answer to a request is to leave this long before its client gives up, so that a busy core does
	// not make it late, but a request with little time keeps most of it.
	responseMargin        = 30 * time.Millisecond
	responseMarginDivisor = 8
)

// fault is the answer to a request that makes no sense.
func errorResponse(status int, why string) response {
	return response{status: status, body: []byte(why + "\n"), contentType: "text/plain"}
}

// parse reads a request's head. With an answer returned it makes no sense; nothing of it goes on.
func (v *settingsSnapshot) parseRequest(w http.ResponseWriter, r *http.Request) (*request, response) {
	bad := func(status int, why string) (*request, response) { return nil, errorResponse(status, why) }
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Idempotency-Key", "Tenant"} {
		if len(r.Header[name]) > 1 {
			return bad(http.StatusBadRequest, name+" is given twice")
		}
	}
	name := r.Header.Get("Request-Class")
	class, ok := v.classes[name]
	if !ok {
		return bad(http.StatusBadRequest, "unknown Request-Class")
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if part != name || !strings.HasPrefix(r.RequestURI, "/") {
		return bad(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return bad(http.StatusBadRequest, "no Request-Id")
	}
	k, method := v.balancer.Classes[class], http.MethodPost
	if k.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (k.Idempotency == balancer.IdempotentWithKey) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	// Without a time-out that makes sense the client is taken to wait as long as its class does.
	wait := time.Duration(k.Deadline) * time.Microsecond
	if ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(min(ms, 1e9))*time.Millisecond)
	}
	tenant, ok := v.tenants[r.Header.Get("Tenant")]
	if !ok {
		tenant = -1 // not told
	}
	wait -= min(responseMargin, wait/responseMarginDivisor)
	return &request{
		Request: balancer.Request{ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
			Settings: v.balancer},
		className: name,
		method:    method, uri: r.RequestURI, host: r.Host, header: forwardedHeader(r.Header), timeout: wait,
		nonIdempotent: k.Idempotency == balancer.NonIdempotent,
		responses:     make(chan response, 1),
	}, response{}
}

// passOn takes the headers that concern one connection out, and leaves net/http to frame the body.
func forwardedHeader(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		delete(h, name)
	}
	if h["User-Agent"] == nil {
		h["User-Agent"] = []string{""} // none of ours in its place
	}
	return h
}
