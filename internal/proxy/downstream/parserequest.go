package downstream

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/upstream"
)

const (
	// responseMargin is how much earlier a response is due than the client gives up: the process may be held up
	// for so long between reading its clock and writing. For a request with a short timeout, the margin is at
	// most the timeout divided by responseMarginDivisor.
	responseMargin        = 150 * time.Millisecond
	responseMarginDivisor = 8

	classHeader   = "Request-Class"
	timeoutHeader = "Request-Timeout-Ms" // how long the client waits, from the last byte of its request
)

// errMalformedTimeout means that Request-Timeout-Ms is not a number. Clients are shown the text.
var errMalformedTimeout = errors.New(timeoutHeader + " is no number of milliseconds")

// hasClass reports whether there is a class of a name.
func (v *settingsSnapshot) hasClass(name string) bool {
	_, ok := v.classes[name]
	return ok
}

// parseRequest checks a request's head by the settings of the snapshot and builds the Request from it. If the
// head is invalid, it returns the response that rejects the request, which is then not forwarded.
func (v *settingsSnapshot) parseRequest(w http.ResponseWriter, r *http.Request) (*Request, Response) {
	fail := func(status int, reason string) (*Request, Response) { return nil, errorResponse(status, reason) }
	for _, name := range []string{"Request-Id", classHeader, timeoutHeader, "Idempotency-Key", "Tenant"} {
		if len(r.Header[name]) > 1 {
			return fail(http.StatusBadRequest, name+" is given twice")
		}
	}
	name := r.Header.Get(classHeader)
	class, ok := v.classes[name]
	if !ok {
		return fail(http.StatusBadRequest, "unknown "+classHeader)
	}
	firstSegment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != name || !strings.HasPrefix(r.RequestURI, "/") {
		return fail(http.StatusBadRequest, "the path does not begin with the class")
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		return fail(http.StatusBadRequest, "no Request-Id")
	}
	classSettings, method := v.balancer.Classes[class], http.MethodPost
	if classSettings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return fail(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if hasKey := r.Header.Get("Idempotency-Key") != ""; hasKey !=
		(classSettings.Idempotency == balancer.IdempotentWithKey) {
		return fail(http.StatusBadRequest, "Idempotency-Key does not fit the class")
	}
	timeout, err := clientTimeout(r, classSettings)
	if err != nil {
		return fail(http.StatusBadRequest, err.Error())
	}
	tenant, ok := v.tenants[r.Header.Get("Tenant")]
	if !ok {
		tenant = -1 // unknown
	}
	req := &Request{
		Request: balancer.Request{ID: id, Class: class, Tenant: tenant, Key: rest[strings.LastIndexByte(rest, '/')+1:],
			Timeout: max(1, timeout.Microseconds()), Settings: v.balancer},
		ClassName: name,
		Outbound: upstream.Request{ID: id, Method: method, URI: r.RequestURI, Host: r.Host, Header: forwardedHeader(r.Header),
			Timeout: timeout, NonIdempotent: classSettings.Idempotency == balancer.NonIdempotent},
		responses: make(chan Response, 1),
	}
	req.Outbound.ClientGone = req.IsClientGone
	return req, Response{}
}

// clientTimeout returns how long the proxy has for a response, counted from the last byte of the request: the
// client's Request-Timeout-Ms, or the deadline of the class if that is shorter or the header is missing, less
// the margin. It is 0 if the client states less than 1 ms. A value that is not a number is an error.
func clientTimeout(r *http.Request, class balancer.Class) (time.Duration, error) {
	timeout := time.Duration(class.Deadline) * time.Microsecond
	if values := r.Header[timeoutHeader]; len(values) > 0 {
		millis, err := strconv.ParseFloat(values[0], 64) // ±Inf if out of range
		if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(millis) {
			return 0, errMalformedTimeout
		}
		millis = max(0, math.Floor(millis))
		if millis < float64(timeout.Milliseconds()) {
			timeout = time.Duration(millis) * time.Millisecond
		}
	}
	return timeout - min(responseMargin, timeout/responseMarginDivisor), nil
}

// forwardedHeader removes the hop-by-hop headers, and those that frame the body, which net/http sets anew.
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
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return h
}
