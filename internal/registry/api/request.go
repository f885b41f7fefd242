package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"merlinpick/internal/registry/state"
)

const (
	maxBodyBytes = 64 << 10
	bodyTimeout  = 10 * time.Second // for the client to send a body
)

// readBody reads a call's body of at most maxBytes within bodyTimeout. If that fails, it responds with 400
// and returns false. It clears the deadline afterwards: a deadline for the whole call would end watches too.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		writeError(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	return body, true
}

// readJSON decodes a call's body, one JSON value without unknown keys. If that fails, it responds with 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) ([]byte, bool) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "the body: %v", err)
		return nil, false
	}
	if decoder.More() {
		writeError(w, http.StatusBadRequest, "the body: more than one value")
		return nil, false
	}
	return body, true
}

// queryNumber reads a number of 0 or more from the query; it is 0 if the key is missing. If the number is
// invalid, it responds with 400 and returns false. The argument what is a noun and its verb for the error
// text, such as "a version is".
func queryNumber(w http.ResponseWriter, r *http.Request, key, what string) (n int64, ok bool) {
	text := r.URL.Query().Get(key)
	if text == "" && !r.URL.Query().Has(key) {
		return 0, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		writeError(w, http.StatusBadRequest, "%s=%q: %s needed, 0 or more", key, text, what)
		return 0, false
	}
	return n, true
}

// readInstanceRef reads the name and instance that a call is about, and its body. If the instance is missing,
// it responds with 400 and returns false.
func readInstanceRef(w http.ResponseWriter, r *http.Request) (ref state.InstanceRef, body []byte, ok bool) {
	ref.Name = r.PathValue("name")
	if r.Method == http.MethodDelete {
		ref.Instance = r.URL.Query().Get("instance")
	} else {
		var in struct {
			Instance string `json:"instance"`
		}
		if body, ok = readJSON(w, r, &in); !ok {
			return ref, nil, false
		}
		ref.Instance = in.Instance
	}
	if ref.Instance == "" {
		writeError(w, http.StatusBadRequest, "instance is missing")
		return ref, nil, false
	}
	return ref, body, true
}
