package handover

import (
	"fmt"
	"net"
	"os"
)

// InheritedListener returns the listener with the given file descriptor, which the platform keeps open across
// processes. Closing it affects only this process. It returns an error if the descriptor is not a listening TCP socket.
func InheritedListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is not a listening socket: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is not a listening TCP socket", fd)
	}
	return ln, nil
}
