package link

import "syscall"

// setBacklog sets the accept backlog of a listening socket. The kernel queues one connection more than n.
func setBacklog(raw syscall.RawConn, n int) error {
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return set
}
