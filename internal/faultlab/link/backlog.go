package link

import "syscall"

// setBacklog sets the length of a listener's queue, which holds one connection more.
func setBacklog(raw syscall.RawConn, n int) error {
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return set
}
