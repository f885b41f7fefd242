// Package minimalconfig provides a minimal configuration with which a proxy starts, and helpers for the
// commands in .ci that send requests to such a proxy. It does not start proxies itself.
package minimalconfig

import (
	"fmt"
	"net"
	"net/http"
)

// text is the format of the configuration file. Its arguments are the listen and management addresses.
const text = `{"name":"n0","listen":%q,"mgmt":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,` +
	`"memory_mb":192,"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":` +
	`"127.0.0.1:1","zone":"a","status":"SERVING","since_ms":0}]},"settings":{"contract":{},"failure_domains":["a"],` +
	`"limits":{"dial_timeout_us":100000,"idle_close_us":1000000,"try_limit":2},"membership_mode":"automatic",` +
	`"profiles":[{"give_up_us":1000000,"name":"look","objective_us":500000,"repeat":"idempotent","worth":1}],` +
	`"siblings":1}}`

// Config returns a configuration with an initial endpoint list and an unreachable discovery service. If
// management is empty, the proxy has no management address.
func Config(listen, management string) []byte { return fmt.Appendf(nil, text, listen, management) }

// FreeAddress returns a loopback address with a port that is currently unused.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Status sends a request to an HTTP URL, given without the scheme, and returns the status code of the
// response, or 0 if there is no response.
func Status(method, url string) int {
	request, err := http.NewRequest(method, "http://"+url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
