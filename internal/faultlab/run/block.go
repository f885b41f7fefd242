package run

import (
	"fmt"
	"net"
	"os"
)

// block is the loopback addresses of a run: 127.X.0.0/16, claimed by a listener at its end, so that two runs on a
// machine never meet, and one that was killed leaves nothing claimed. Ports lie below those that the kernel gives out.
type addressBlock struct {
	octet int
	claim net.Listener
}

const (
	claimPort     = 7400
	listPort      = 8500
	proxyPort     = 8443
	mgmtPort      = 9400 // and up, one for each process of a proxy
	relayPort     = 7901
	gossipPort    = 10400 // and up, likewise
	firstBlock    = 16
	lastBlock     = 250
	perOctet      = 250
	proxyOctet    = 1
	gossipOctet   = 3
	listOctet     = 5
	registryOctet = 8
	serverOctet   = 10
	hollowOctet   = 230 // and up, of hollow proxies in their fleet
	controlOctet  = 229
	lastOctet     = 228
)

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
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", last)
}

func (b *addressBlock) release() { b.claim.Close() }

func (b *addressBlock) addr(octet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.octet, octet+n/perOctet, 1+n%perOctet, port)
}

func (b *addressBlock) proxy(n int) string         { return b.addr(proxyOctet, n, proxyPort) }
func (b *addressBlock) mgmt(n, process int) string { return b.addr(proxyOctet, n, mgmtPort+process) }
func (b *addressBlock) list(n int) string          { return b.addr(listOctet, n, listPort) }

// Where a process of proxy n speaks to the others, by which address the lab knows it, and where the others find it.
func (b *addressBlock) gossip(n, process int) string {
	return b.addr(gossipOctet, n, gossipPort+process)
}
func (b *addressBlock) relay(n int) string { return b.addr(listOctet, n, relayPort) }

// The list service: member n's own address, that under which member from finds member to, a zone's servers find one, and
// a proxy does.
const (
	firstMemberLink = 10 // of the addresses below rosterIP
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

// Where the hollow proxies and servers of a zone find a member, where a process of them is told what to do, where hollow proxy
// n speaks to its fleet, and where hollow servers are said to be.
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
		return "", fmt.Errorf("over %d links from proxies to nodos", n)
	}
	return b.addr(serverOctet, n, proxyPort), nil
}
