package link

import "syscall"

// backlog sets how many connections a listener's queue holds beside the first.
func backlog(rc syscall.RawConn, n int) error {
	var set error
	if err := rc.Control(func(fd uintptr) { set = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return set
}
