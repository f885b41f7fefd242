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

	idHeader      = "Request-Id"
	classHeader   = "Request-Class"
	timeoutHeader = "Request-Timeout-Ms" // how long the client waits, from the last byte of its request
	keyHeader     = "Idempotency-Key"
	tenantHeader  = "Tenant"
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
	class, rejection := v.parseClass(r)
	if rejection.Status != 0 {
		return nil, rejection
	}
	classSettings := v.balancer.Classes[class]
	if rejection = checkFitsClass(w, r, classSettings); rejection.Status != 0 {
		return nil, rejection
	}
	timeout, err := clientTimeout(r, classSettings)
	if err != nil {
		return nil, errorResponse(http.StatusBadRequest, err.Error())
	}
	return v.newRequest(r, class, timeout), Response{}
}

// parseClass returns the number of the class that a request names in its head and in its path, or the response to a
// request without a class or an ID.
func (v *settingsSnapshot) parseClass(r *http.Request) (class int, rejection Response) {
	fail := func(reason string) (int, Response) { return 0, errorResponse(http.StatusBadRequest, reason) }
	for _, name := range []string{idHeader, classHeader, timeoutHeader, keyHeader, tenantHeader} {
		if len(r.Header[name]) > 1 {
			return fail(name + " is given twice")
		}
	}
	name := r.Header.Get(classHeader)
	class, ok := v.classes[name]
	if !ok {
		return fail("unknown " + classHeader)
	}
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != name || !strings.HasPrefix(r.RequestURI, "/") {
		return fail("the path does not begin with the class")
	}
	if r.Header.Get(idHeader) == "" {
		return fail("no " + idHeader)
	}
	return class, Response{}
}

// checkFitsClass checks a request's method and key against its class. It returns the response if they do not fit.
func checkFitsClass(w http.ResponseWriter, r *http.Request, class balancer.Class) (rejection Response) {
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return errorResponse(http.StatusMethodNotAllowed, "wrong method for the class")
	}
	if hasKey := r.Header.Get(keyHeader) != ""; hasKey != (class.Idempotency == balancer.IdempotentWithKey) {
		return errorResponse(http.StatusBadRequest, keyHeader+" does not fit the class")
	}
	return Response{}
}

// newRequest builds the Request from a head that is valid.
func (v *settingsSnapshot) newRequest(r *http.Request, class int, timeout time.Duration) *Request {
	tenant, ok := v.tenants[r.Header.Get(tenantHeader)]
	if !ok {
		tenant = -1 // unknown
	}
	_, pathInClass, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, className := r.Header.Get(idHeader), r.Header.Get(classHeader)
	req := &Request{
		Request: balancer.Request{ID: id, Class: class, Tenant: tenant,
			Key:     pathInClass[strings.LastIndexByte(pathInClass, '/')+1:],
			Timeout: max(1, timeout.Microseconds()), Settings: v.balancer},
		ClassName: className,
		Outbound: upstream.Request{ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: forwardedHeader(r.Header),
			Timeout: timeout, NonIdempotent: v.balancer.Classes[class].Idempotency == balancer.NonIdempotent},
		responses: make(chan Response, 1),
	}
	req.Outbound.ClientGone = req.IsClientGone
	return req
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
