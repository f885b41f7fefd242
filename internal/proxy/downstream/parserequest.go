package downstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/upstream"
)

const (
	// A response is to leave so long before its client gives up, so that a busy core does not make it late, but a request
	// with little time keeps all but a responseMarginDivisor-th of it.
	responseMargin        = 30 * time.Millisecond
	responseMarginDivisor = 8

	maxTimeoutMillis = 1e9 // of what a client may ask for, so that it fits a time.Duration
)

// parseRequest reads a request's head by the settings of a snapshot. With a response returned the head makes no sense, and
// nothing of it is forwarded.
func (v *settingsSnapshot) parseRequest(w http.ResponseWriter, r *http.Request) (*Request, Response) {
	bad := func(status int, reason string) (*Request, Response) { return nil, errorResponse(status, reason) }
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
	settings, method := v.balancer.Classes[class], http.MethodPost
	if settings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return bad(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if keyed := r.Header.Get("Idempotency-Key") != ""; keyed != (settings.Idempotency == balancer.IdempotentWithKey) {
		return bad(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	tenant, ok := v.tenants[r.Header.Get("Tenant")]
	if !ok {
		tenant = -1 // unknown
	}
	req := &Request{
		Request: balancer.Request{ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
			Settings: v.balancer},
		ClassName: name,
		Outbound: upstream.Request{ID: id, Method: method, URI: r.RequestURI, Host: r.Host, Header: forwardedHeader(r.Header),
			Timeout: clientTimeout(r, settings), NonIdempotent: settings.Idempotency == balancer.NonIdempotent},
		responses: make(chan Response, 1),
	}
	req.Outbound.ClientGone = req.IsClientGone
	return req, Response{}
}

// clientTimeout is how long the proxy has for a response, from the request's last byte on. A client whose
// Request-Timeout-Ms makes no sense is taken to wait as long as its class allows.
func clientTimeout(r *http.Request, class balancer.Class) time.Duration {
	timeout := time.Duration(class.Deadline) * time.Microsecond
	if ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(min(ms, maxTimeoutMillis))*time.Millisecond)
	}
	return timeout - min(responseMargin, timeout/responseMarginDivisor)
}

// forwardedHeader removes the headers that concern one connection, and leaves net/http to frame the body.
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
