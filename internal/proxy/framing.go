package proxy

import (
	"bytes"
	"errors"
	"strconv"
)

var errAmbiguousFraming = errors.New("ambiguous framing")

// framing tells from a raw head how long the body behind it is, -1 if it is not told by a Content-Length.
// net/http settles what two readers could take in two ways, and then hides it: a Transfer-Encoding beside a
// Content-Length, a repeated Content-Length, a Transfer-Encoding in HTTP/1.0, folded lines, a bare CR or LF.
// Here each of these is a fault, since the other reader's body may hold a request of its own.
func parseFraming(head []byte) (length int64, chunked bool, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n"))
	length = -1
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") || i > 0 && (len(line) == 0 || line[0] == ' ' || line[0] == '\t') {
			return 0, false, errAmbiguousFraming
		}
		if i == 0 {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		name, value = bytes.TrimSpace(name), bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || length >= 0 {
				return 0, false, errAmbiguousFraming
			}
			length = int64(n)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return 0, false, errAmbiguousFraming
			}
			chunked = true
		}
	}
	if chunked && (length >= 0 || bytes.Contains(lines[0], []byte("HTTP/1.0"))) {
		return 0, false, errAmbiguousFraming
	}
	return length, chunked, nil
}
