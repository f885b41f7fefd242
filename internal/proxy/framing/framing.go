// Package framing determines from the head of an HTTP/1.1 message where its body ends, and rejects a head
// that two recipients could interpret in different ways (request smuggling). It does no I/O.
package framing

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrAmbiguous means that two recipients could find the end of a message in different places.
var ErrAmbiguous = errors.New("ambiguous framing")

// Parse returns the length in bytes of the body that follows a raw head, -1 without a Content-Length, and
// whether it is chunked. It fails with ErrAmbiguous for what net/http would resolve silently: a
// Transfer-Encoding beside a Content-Length, a repeated Content-Length, a Transfer-Encoding in HTTP/1.0,
// folded lines, a bare CR or LF. Another recipient could take a part of such a body for a separate request.
func Parse(head []byte) (length int64, chunked bool, err error) {
	var firstLine []byte
	length = -1
	for line := range bytes.SplitSeq(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n")) {
		first := firstLine == nil
		if bytes.ContainsAny(line, "\r\n\x00") || !first && (len(line) == 0 || line[0] == ' ' || line[0] == '\t') {
			return 0, false, ErrAmbiguous
		}
		if first {
			firstLine = line
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		name, value = bytes.TrimSpace(name), bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || length >= 0 {
				return 0, false, ErrAmbiguous
			}
			length = int64(n)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return 0, false, ErrAmbiguous
			}
			chunked = true
		}
	}
	if chunked && (length >= 0 || bytes.Contains(firstLine, []byte("HTTP/1.0"))) {
		return 0, false, ErrAmbiguous
	}
	return length, chunked, nil
}
