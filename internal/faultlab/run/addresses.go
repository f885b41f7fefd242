package run

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// addressBlock holds the loopback addresses of a run, 127.octet.0.0/16. A listener on its last address claims it, so that two runs
// on a machine never share one and a killed run leaves no claim. Ports are below the kernel's ephemeral range.
type addressBlock struct {
	octet int
	claim net.Listener
}

const (
	claimPort     = 7400
	listPort      = 8500
	proxyPort     = 8443
	mgmtPort      = 9400 // first, one for each process of a proxy
	relayPort     = 7901
	gossipPort    = 10400 // first, one for each process of a proxy
	firstBlock    = 16
	lastBlock     = 250
	perOctet      = 250
	proxyOctet    = 1
	gossipOctet   = 3
	listOctet     = 5
	registryOctet = 8
	serverOctet   = 10
	hollowOctet   = 230 // first, of hollow proxies in their cluster
	controlOctet  = 229
	lastOctet     = 228
)

// errTooLarge is an experiment with more servers or links than the lab has names or addresses for.
var errTooLarge = errors.New("experiment too large")

// claimBlock claims the first free block, starting from one that depends on the process.
func claimBlock() (*addressBlock, error) {
	span := lastBlock - firstBlock + 1
	var last error
	for i := range span {
		x := firstBlock + (os.Getpid()+i)%span
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", x, claimPort))
		if err == nil {
			return &addressBlock{x, l}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("loopback addresses 127.%d to 127.%d are all claimed, end another run: %w", firstBlock, lastBlock, last)
}

func (b *addressBlock) release() { b.claim.Close() }

func (b *addressBlock) addr(octet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.octet, octet+n/perOctet, 1+n%perOctet, port)
}

func (b *addressBlock) proxy(n int) string         { return b.addr(proxyOctet, n, proxyPort) }
func (b *addressBlock) mgmt(n, process int) string { return b.addr(proxyOctet, n, mgmtPort+process) }
func (b *addressBlock) list(n int) string          { return b.addr(listOctet, n, listPort) }

// gossip is the gossip address of a process of proxy n, and relay the address that it advertises to the others.
func (b *addressBlock) gossip(n, process int) string {
	return b.addr(gossipOctet, n, gossipPort+process)
}
func (b *addressBlock) relay(n int) string { return b.addr(listOctet, n, relayPort) }

// The list service has an address for each member, and a link's address for each pair of members, zone and proxy.
const (
	firstMemberLink = 10 // after the members' own addresses
	firstZoneLink   = 60
	maxPerKind      = 8
)

func (b *addressBlock) member(n, port int) string { return b.addr(registryOctet, n, port) }

func (b *addressBlock) memberLink(from, to, port int) string {
	return b.addr(registryOctet, firstMemberLink+from*maxPerKind+to, port)
}

func (b *addressBlock) zoneMember(zone, to, port int) string {
	return b.addr(registryOctet, firstZoneLink+zone*maxPerKind+to, port)
}

func (b *addressBlock) listMember(proxy, member int) string {
	return b.addr(listOctet, proxy, listPort+1+member)
}

// Hollow processes have an address for each zone and member of the list service (lists and leases), one for the commands of the
// lab, and gossip addresses like those of proxies; all hollow servers are listed at one address.
func (b *addressBlock) hollowList(zone, to int) string {
	return b.addr(registryOctet, firstZoneLink+zone*maxPerKind+to, listPort+1)
}

func (b *addressBlock) hollowLease(zone, to int) string {
	return b.addr(registryOctet, firstZoneLink+zone*maxPerKind+to, listPort+2)
}

func (b *addressBlock) hollowControl(n int) string { return b.addr(controlOctet, n, mgmtPort) }
func (b *addressBlock) hollowGossip(n int) string  { return b.addr(hollowOctet, n, gossipPort) }
func (b *addressBlock) hollowRelay(n int) string   { return b.addr(hollowOctet, n, relayPort) }
func (b *addressBlock) hollowServer() string       { return b.addr(controlOctet, perOctet-1, 9) }

func (b *addressBlock) server(n int) (string, error) {
	if serverOctet+n/perOctet > lastOctet {
		return "", fmt.Errorf("%w: over %d links from proxies to nodos, give fewer of either", errTooLarge, n)
	}
	return b.addr(serverOctet, n, proxyPort), nil
}
