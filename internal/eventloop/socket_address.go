package eventloop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"
)

// errInvalidAddress is returned for an address without an IP.
var errInvalidAddress = errors.New("invalid IP address and port")

// addrPortOf converts a kernel socket address. It returns the zero AddrPort for families other than IPv4 and IPv6.
func addrPortOf(address unix.Sockaddr) netip.AddrPort {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// sockaddrOf converts an address to a kernel socket address and its address family.
func sockaddrOf(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr, err error) {
	ip := addr.Addr().Unmap()
	switch {
	case ip.Is4():
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}, nil
	case ip.Is6():
		return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: ip.As16()}, nil
	}
	return 0, nil, errInvalidAddress
}
