package framing

// ChunkScanner follows the framing of a chunked body up to its end, through the bytes that are passed to Scan.
// It keeps none of them, and a copy of it can look ahead. The zero value is at the start of a body.
type ChunkScanner struct {
	section  chunkSection
	size     int64 // of the chunk whose size line is being scanned
	digits   int   // of that size
	dataLeft int64 // bytes to come of the chunk, its final CRLF included
}

// chunkSection is the part of a chunked body that the next byte belongs to.
type chunkSection int

const (
	chunkSize        chunkSection = iota // the size in hexadecimal digits
	chunkExtension                       // the rest of the size line
	chunkData                            // the data and its final CRLF
	trailerLineStart                     // the start of a trailer field, or of the empty line that ends the body
	trailerLine                          // the rest of a trailer field
	bodyEnded
)

// maxChunkSizeDigits keeps a chunk's size within 63 bits.
const maxChunkSizeDigits = 15

// Scan scans the next bytes. Those behind the body's end are ignored.
func (s *ChunkScanner) Scan(p []byte) {
	for len(p) > 0 && !s.Ended() {
		if skipped := min(int64(len(p)), s.DataLeft()); skipped > 0 {
			s.Skip(skipped)
			p = p[skipped:]
			continue
		}
		s.scanByte(p[0])
		p = p[1:]
	}
}

// Ended reports whether the last byte of the body has been scanned. A body with malformed framing ends where
// that begins, since no further byte can complete it.
func (s *ChunkScanner) Ended() bool { return s.section == bodyEnded }

// DataLeft returns how many of the next bytes belong to a chunk, so that Skip can replace Scan for them.
func (s *ChunkScanner) DataLeft() int64 { return s.dataLeft }

// Skip advances by n bytes, DataLeft at most.
func (s *ChunkScanner) Skip(n int64) {
	if s.dataLeft -= n; s.dataLeft == 0 {
		s.section, s.size, s.digits = chunkSize, 0, 0
	}
}

// scanByte scans a byte outside of a chunk's data.
func (s *ChunkScanner) scanByte(b byte) {
	switch {
	case s.section == chunkSize:
		s.scanSizeByte(b)
	case b == '\n':
		s.endLine()
	case s.section == trailerLineStart && b != '\r':
		s.section = trailerLine
	}
}

// scanSizeByte scans a byte of a chunk's size, or the first byte behind it.
func (s *ChunkScanner) scanSizeByte(b byte) {
	digit, isDigit := hexDigit(b)
	switch {
	case isDigit && s.digits < maxChunkSizeDigits:
		s.size = s.size<<4 | digit
		s.digits++
	case isDigit, s.digits == 0:
		s.section = bodyEnded // malformed
	case b == '\n':
		s.endLine()
	case b == '\r', b == ';', b == ' ', b == '\t':
		s.section = chunkExtension
	default:
		s.section = bodyEnded // malformed
	}
}

// endLine advances to what follows a line.
func (s *ChunkScanner) endLine() {
	switch {
	case s.section == trailerLineStart:
		s.section = bodyEnded
	case s.section == trailerLine, s.size == 0:
		s.section = trailerLineStart
	default:
		s.section, s.dataLeft = chunkData, s.size+int64(len("\r\n"))
	}
}

func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
