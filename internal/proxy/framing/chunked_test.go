package framing

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestChunkScannerEndsWithBody checks that a scanner ends with the last byte of a chunked body and not before,
// in whatever pieces the body is passed to it.
func TestChunkScannerEndsWithBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extension := rapid.SampledFrom([]string{"", ";a=b", " ;x=\"\r\"", "\t"})
		var body strings.Builder
		for _, data := range rapid.SliceOf(rapid.StringOfN(rapid.RuneFrom([]rune("\r\n0;x")), 1, 40, -1)).Draw(t, "chunks") {
			fmt.Fprintf(&body, "%0*X%s\r\n%s\r\n", rapid.IntRange(1, 4).Draw(t, "digits"), len(data), extension.Draw(t, "extension"), data)
		}
		body.WriteString(strings.Repeat("0", rapid.IntRange(1, 3).Draw(t, "zeros")) + extension.Draw(t, "extension") + "\r\n")
		for range rapid.IntRange(0, 2).Draw(t, "trailers") {
			body.WriteString("Trailer: 0\r\n")
		}
		body.WriteString("\r\n")

		var scanner ChunkScanner
		for text := body.String(); text != ""; {
			if scanner.Ended() {
				t.Fatalf("ended %d bytes before the end of %q", len(text), body.String())
			}
			piece := rapid.IntRange(1, len(text)).Draw(t, "piece")
			ahead := scanner // a look ahead leaves the scanner as it is
			ahead.Scan([]byte(text))
			scanner.Scan([]byte(text[:piece]))
			if text = text[piece:]; !ahead.Ended() {
				t.Fatalf("a look ahead did not find the end of %q", body.String())
			}
		}
		if !scanner.Ended() {
			t.Fatalf("did not end with %q", body.String())
		}
	})
}

// TestChunkScannerEndsWithMalformedFraming checks that a body which no further byte can complete has ended.
func TestChunkScannerEndsWithMalformedFraming(t *testing.T) {
	for _, text := range []string{"x", "\r\n", ";a\r\n", "5x", "1\r\na\r\nx", strings.Repeat("f", maxChunkSizeDigits+1)} {
		var scanner ChunkScanner
		if scanner.Scan([]byte(text)); !scanner.Ended() {
			t.Errorf("%q has not ended", text)
		}
	}
}
