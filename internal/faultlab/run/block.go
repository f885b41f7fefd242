package run

import (
	"fmt"
	"net"
	"os"
)

// block is the loopback addresses of a run: 127.X.0.0/16, claimed by a listener at its end, so that two runs on a
// machine never meet, and one that was killed leaves nothing claimed. Ports lie below those that the kernel gives out.
type block struct {
	x     int
	claim net.Listener
}

const (
	claimPort  = 7400
	listPort   = 8500
	proxyPort  = 8443
	mgmtPort   = 9400 // and up, one for each process of a proxy
	relayPort  = 7901
	gossipPort = 10400 // and up, likewise
	firstBlock = 16
	lastBlock  = 250
	perOctet   = 250
	proxyOctet = 1
	gossipOct  = 3
	listOctet  = 5
	registryIP = 8
	nodoOctet  = 10
	hollowOct  = 230 // and up, of hollow proxies in their fleet
	controlOct = 229
	lastOctet  = 228
)

func claimBlock() (*block, error) {
	span := lastBlock - firstBlock + 1
	var last error
	for i := range span {
		x := firstBlock + (os.Getpid()+i)%span
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", x, claimPort))
		if err == nil {
			return &block{x, l}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", last)
}

func (b *block) release() { b.claim.Close() }

func (b *block) addr(octet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.x, octet+n/perOctet, 1+n%perOctet, port)
}

func (b *block) proxy(n int) string         { return b.addr(proxyOctet, n, proxyPort) }
func (b *block) mgmt(n, process int) string { return b.addr(proxyOctet, n, mgmtPort+process) }
func (b *block) list(n int) string          { return b.addr(listOctet, n, listPort) }

// Where a process of proxy n speaks to the others, by which address the lab knows it, and where the others find it.
func (b *block) gossip(n, process int) string { return b.addr(gossipOct, n, gossipPort+process) }
func (b *block) relay(n int) string           { return b.addr(listOctet, n, relayPort) }

// The list service: member n's own address, that under which member from finds member to, a zone's servers find one, and
// a proxy does.
const (
	pairsFrom  = 10 // of the addresses below rosterIP
	nearFrom   = 60
	maxPerKind = 8
)

func (b *block) member(n, port int) string { return b.addr(registryIP, n, port) }

func (b *block) memberLink(from, to, port int) string {
	return b.addr(registryIP, pairsFrom+from*maxPerKind+to, port)
}

func (b *block) memberNear(zone, to, port int) string {
	return b.addr(registryIP, nearFrom+zone*maxPerKind+to, port)
}

func (b *block) listMember(proxy, member int) string {
	return b.addr(listOctet, proxy, listPort+1+member)
}

// Where the hollow proxies and servers of a zone find a member, where a process of them is told what to do, where hollow proxy
// n speaks to its fleet, and where hollow servers are said to be.
func (b *block) hollowList(zone, to int) string {
	return b.addr(registryIP, nearFrom+zone*maxPerKind+to, listPort+1)
}

func (b *block) hollowLease(zone, to int) string {
	return b.addr(registryIP, nearFrom+zone*maxPerKind+to, listPort+2)
}

func (b *block) hollowControl(n int) string { return b.addr(controlOct, n, mgmtPort) }
func (b *block) hollowGossip(n int) string  { return b.addr(hollowOct, n, gossipPort) }
func (b *block) hollowRelay(n int) string   { return b.addr(hollowOct, n, relayPort) }
func (b *block) hollowServer() string       { return b.addr(controlOct, perOctet-1, 9) }

func (b *block) server(n int) (string, error) {
	if nodoOctet+n/perOctet > lastOctet {
		return "", fmt.Errorf("over %d links from proxies to nodos", n)
	}
	return b.addr(nodoOctet, n, proxyPort), nil
}
