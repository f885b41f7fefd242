package run

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// addressBlock is the block of loopback addresses of a run, 127.octet.0.0/16. A listener on the last address
// of the block claims it, so that two runs on one machine never share a block and the kernel frees the block
// of a killed run. All ports are below the kernel's ephemeral range.
type addressBlock struct {
	octet int
	claim net.Listener
}

// Ports, the range of blocks, and the third octets of the addresses in a block.
const (
	claimPort         = 7400
	listPort          = 8500
	proxyPort         = 8443
	mgmtPort          = 9400 // of a proxy's first process; each further process has the next port
	relayPort         = 7901
	gossipPort        = 10400 // of a proxy's first process; each further process has the next port
	firstBlock        = 16
	lastBlock         = 250
	addressesPerOctet = 250
	proxyOctet        = 1
	gossipOctet       = 3
	listOctet         = 5
	registryOctet     = 8
	serverOctet       = 10
	hollowOctet       = 230 // first octet of the gossip addresses of hollow proxies
	controlOctet      = 229
	lastOctet         = 228 // last octet of the servers' addresses
)

// errTooLarge is returned for an experiment with more servers or links than the lab has names or addresses
// for.
var errTooLarge = errors.New("experiment too large")

// claimBlock claims the first free block, starting from one that depends on the process ID.
func claimBlock() (*addressBlock, error) {
	span := lastBlock - firstBlock + 1
	var lastErr error
	for i := range span {
		x := firstBlock + (os.Getpid()+i)%span
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", x, claimPort))
		if err == nil {
			return &addressBlock{x, l}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf(
		"all blocks of loopback addresses from 127.%d to 127.%d are in use, end another run: %w",
		firstBlock, lastBlock, lastErr)
}

func (b *addressBlock) release() { b.claim.Close() }

func (b *addressBlock) addr(octet, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.octet, octet+n/addressesPerOctet, 1+n%addressesPerOctet, port)
}

func (b *addressBlock) proxy(n int) string         { return b.addr(proxyOctet, n, proxyPort) }
func (b *addressBlock) mgmt(n, process int) string { return b.addr(proxyOctet, n, mgmtPort+process) }
func (b *addressBlock) list(n int) string          { return b.addr(listOctet, n, listPort) }

// gossip returns the gossip address of a process of proxy n.
func (b *addressBlock) gossip(n, process int) string {
	return b.addr(gossipOctet, n, gossipPort+process)
}

// relay returns the gossip address that proxy n advertises to other members.
func (b *addressBlock) relay(n int) string { return b.addr(listOctet, n, relayPort) }

// Addresses of the list service: one for each member, and one for the link to each member from each other
// member, each zone and each proxy.
const (
	firstMemberLink   = 10 // after the members' own addresses
	firstZoneLink     = 60
	linkAddressStride = 8 // addresses for the links of one member or zone: at least one for each member
)

// member returns the address of a member of the list service itself.
func (b *addressBlock) member(n, port int) string { return b.addr(registryOctet, n, port) }

// memberLink returns the address of the link from one member to another.
func (b *addressBlock) memberLink(from, to, port int) string {
	return b.addr(registryOctet, firstMemberLink+from*linkAddressStride+to, port)
}

// zoneMember returns the address at which the servers of a zone reach a member.
func (b *addressBlock) zoneMember(zone, to, port int) string {
	return b.addr(registryOctet, firstZoneLink+zone*linkAddressStride+to, port)
}

// listMember returns the address at which a proxy reaches a member.
func (b *addressBlock) listMember(proxy, member int) string {
	return b.addr(listOctet, proxy, listPort+1+member)
}

// Hollow processes have two addresses for each zone and member of the list service, one for lists and one for
// leases, an address for the lab's commands, and gossip addresses like those of real proxies. All hollow
// servers are listed at the same address.

// hollowList returns the address at which the hollow proxies of a zone read lists from a member.
func (b *addressBlock) hollowList(zone, to int) string {
	return b.addr(registryOctet, firstZoneLink+zone*linkAddressStride+to, listPort+1)
}

// hollowLease returns the address at which the hollow servers of a zone renew their leases at a member.
func (b *addressBlock) hollowLease(zone, to int) string {
	return b.addr(registryOctet, firstZoneLink+zone*linkAddressStride+to, listPort+2)
}

func (b *addressBlock) hollowControl(n int) string { return b.addr(controlOctet, n, mgmtPort) }
func (b *addressBlock) hollowGossip(n int) string  { return b.addr(hollowOctet, n, gossipPort) }
func (b *addressBlock) hollowRelay(n int) string   { return b.addr(hollowOctet, n, relayPort) }
func (b *addressBlock) hollowServer() string       { return b.addr(controlOctet, addressesPerOctet-1, 9) }

// server returns the address of the link with number n from proxies to servers.
func (b *addressBlock) server(n int) (string, error) {
	if serverOctet+n/addressesPerOctet > lastOctet {
		return "", fmt.Errorf("%w: more than %d links from proxies to nodos, configure fewer of either",
			errTooLarge, n)
	}
	return b.addr(serverOctet, n, proxyPort), nil
}
