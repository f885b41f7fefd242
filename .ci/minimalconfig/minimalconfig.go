// Package minimalconfig has the smallest configuration that a proxy starts with, and the requests that the checks in .ci
// send to such a proxy.
package minimalconfig

import (
	"fmt"
	"net"
	"net/http"
)

const text = `{"name":"n0","listen":%q,"mgmt":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,` +
	`"memory_mb":192,"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":` +
	`"127.0.0.1:1","zone":"a","status":"SERVING","since_ms":0}]},"settings":{"contract":{},"failure_domains":["a"],` +
	`"limits":{"dial_timeout_us":100000,"idle_close_us":1000000,"try_limit":2},"membership_mode":"automatic",` +
	`"profiles":[{"give_up_us":1000000,"name":"look","objective_us":500000,"repeat":"idempotent","worth":1}],` +
	`"siblings":1}}`

// Config is that of a proxy with a list that it knows and no discovery. An empty mgmt is none.
func Config(listen, mgmt string) []byte { return fmt.Appendf(nil, text, listen, mgmt) }

// Free is an address that nobody listens at now.
func Free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Status makes one call; 0 is no answer.
func Status(method, url string) int {
	req, err := http.NewRequest(method, "http://"+url, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
