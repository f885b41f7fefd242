package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"merlinpick/internal/registry/state"
)

const writeTimeout = 5 * time.Second // for the client to read a response

// ErrorBody is the body of a response with a status other than 200.
type ErrorBody struct {
	Error string           `json:"error"`
	Code  state.ResultCode `json:"end,omitempty"` // result of the command, if one was proposed
}

// ReadError decodes the body of a response with a status other than 200. If the body is not the registry's,
// the error is the HTTP status.
func ReadError(resp *http.Response, body []byte) (e ErrorBody) {
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	return e
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: all responses are structs of strings and numbers
	}
	writeBody(w, status, append(text, '\n'))
}

// writeBody writes an encoded response. It gives up after writeTimeout if the client does not read it.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, ErrorBody{Error: fmt.Sprintf(format, args...)})
}

// rejectRetryable responds with 503 and Retry-After: the client may repeat the call.
func (s *Server) rejectRetryable(w http.ResponseWriter, err error) {
	s.rejected.Add(1)
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "%v", err)
}
