package costly

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"merlinpick/internal/faultlab/path"
)

// Kind is one way in which a client makes a proxy work without waiting for anybody else. A client of any kind
// uses one connection at a time, writes at full speed, and connects again when the connection has ended.
type Kind struct {
	Name string
	// text returns what the client writes for the n-th time.
	text func(n int64) string
	// writes is how often it writes on a connection before it ends it; 0: until the proxy closes it.
	writes     int
	resets     bool // it resets the connection instead of reading what is answered
	neverReads bool
	// Forwarded states that its requests reach servers.
	Forwarded bool
	// Management states that it calls the management address.
	Management bool
}

const (
	shortHead  = 300      // bytes of a head with filler
	longHead   = 12 << 10 // bytes, under the limit of a head's length
	fieldsHead = 15 << 10 // bytes of a head of many short fields
	bodyBytes  = 200 << 10

	malformedTimeout = "soon" // of a Request-Timeout-Ms that is not a number
)

var requestIDs atomic.Int64

// request returns a request whose head is filled up to a number of bytes. Its name is new each time.
func request(method, class, timeout, fields string, headBytes int) string {
	id := requestIDs.Add(1)
	head := fmt.Sprintf("%s /%s/k%x HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %s\r\n%s",
		method, class, id, id, class, timeout, fields)
	if missing := headBytes - len(head) - len("X: \r\n\r\n"); missing > 0 {
		head += "X: " + strings.Repeat("x", missing) + "\r\n"
	}
	return head + "\r\n"
}

// read returns a function that returns requests of the idempotent class.
func read(timeout string, headBytes int) func(int64) string {
	return func(int64) string { return request("GET", path.ReadClass, timeout, "", headBytes) }
}

// manyFields are fields with different names that fill a head.
var manyFields = func() string {
	var fields strings.Builder
	for i := 0; fields.Len() < fieldsHead; i++ {
		fmt.Fprintf(&fields, "%03x:\r\n", i)
	}
	return fields.String()
}()

// soundTimeout is the Request-Timeout-Ms of sound requests.
var soundTimeout = fmt.Sprint(dueAfter.Milliseconds())

// chunkedHead returns the head of an upload in chunks.
func chunkedHead() string {
	return request("POST", path.WriteClass, soundTimeout, "Transfer-Encoding: chunked\r\n", 0)
}

// chunkedUpload returns what a client of uploads writes: a head, and then always the same chunks.
func chunkedUpload(chunk string) func(n int64) string {
	const chunksPerWrite = 1 << 10
	chunks := strings.Repeat(chunk, chunksPerWrite)
	return func(n int64) string {
		if n == 0 {
			return chunkedHead()
		}
		return chunks
	}
}

// fixed returns a function that returns always the same text.
func fixed(text string) func(int64) string { return func(int64) string { return text } }

// Kinds are all kinds of costly clients.
var Kinds = []Kind{
	{Name: "sound", Forwarded: true, text: read(soundTimeout, shortHead)},
	{Name: "sound-long", Forwarded: true, text: read(soundTimeout, longHead)},
	{Name: "sound-fields", Forwarded: true, text: func(int64) string { return request("GET", path.ReadClass, soundTimeout, manyFields, 0) }},
	{Name: "unsound", text: read(malformedTimeout, shortHead)},
	{Name: "unsound-long", text: read(malformedTimeout, longHead)},
	{Name: "unsound-fields", text: func(int64) string { return request("GET", path.ReadClass, malformedTimeout, manyFields, 0) }},
	{Name: "unsound-short", text: fixed("GET /read/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nRequest-Class: read\r\nRequest-Timeout-Ms: x\r\n\r\n")},
	{Name: "no-time", Forwarded: true, text: read("1", shortHead)},
	{Name: "unknown-class", text: func(n int64) string { return request("GET", fmt.Sprintf("c%d", n), soundTimeout, "", shortHead) }},
	{Name: "repeated-id", Forwarded: true, text: fixed(request("GET", path.ReadClass, soundTimeout, "", shortHead))},
	{Name: "malformed", text: fixed("GET /read/k HTTP/1.1\nHost: h\n\n"), writes: 1},
	{Name: "empty-lines", text: fixed(strings.Repeat("\r\n", 2<<10))},
	{Name: "chunks", Forwarded: true, text: chunkedUpload("1\r\nx\r\n")},
	{Name: "extensions", Forwarded: true, text: chunkedUpload("1;" + strings.Repeat("e", 1<<10) + "\r\nx\r\n")},
	{Name: "trailers", Forwarded: true, text: func(int64) string { return chunkedHead() + "1\r\nx\r\n0\r\n" + manyFields + "\r\n" }, writes: 1},
	{Name: "discarded-bodies", text: func(int64) string {
		return request("POST", path.WriteClass, malformedTimeout, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), 0) + strings.Repeat("x", bodyBytes)
	}},
	{Name: "resets", text: func(int64) string { return strings.TrimSuffix(read(soundTimeout, shortHead)(0), "\r\n") }, writes: 1, resets: true},
	{Name: "connects", text: fixed(""), writes: 1, resets: true},
	{Name: "health", text: fixed("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"), writes: 1},
	{Name: "never-reads", text: read(malformedTimeout, shortHead), neverReads: true},
	{Name: "metrics", text: fixed("GET /v1/metrics HTTP/1.1\r\nHost: h\r\n\r\n"), writes: 1, Management: true},
}

// Draw returns a random kind whose requests reach no server, at the address of clients.
func Draw(random *rand.Rand) Kind {
	for {
		if kind := Kinds[random.IntN(len(Kinds))]; !kind.Forwarded && !kind.Management {
			return kind
		}
	}
}

// KindNamed returns the kind of a name.
func KindNamed(name string) (Kind, bool) {
	for _, kind := range Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

const (
	connectTimeout = time.Second
	// afterFailedConnect is a client's pause after a connect that failed.
	afterFailedConnect = 5 * time.Millisecond
)

// Run is a client of this kind, with an address of its own or none, until the context ends.
func (k Kind) Run(ctx context.Context, address string, from net.Addr) {
	for ctx.Err() == nil {
		c, err := (&net.Dialer{Timeout: connectTimeout, LocalAddr: from}).DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(afterFailedConnect)
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		k.use(c)
		stop()
		c.Close()
	}
}

// use writes on a connection until that fails or enough is written, and reads what is answered.
func (k Kind) use(c net.Conn) {
	if k.resets {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !k.neverReads && !k.resets {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	for n := int64(0); k.writes == 0 || n < int64(k.writes); n++ {
		if _, err := io.WriteString(c, k.text(n)); err != nil {
			return
		}
	}
	<-ended
}
