package strictjson

import (
	"errors"
	"net/netip"
)

// ParseAddr parses the IP address of a single machine. It rejects addresses with a zone,
// IPv4-mapped IPv6 addresses, the unspecified address and multicast addresses. The error says
// what the address must be, without the text itself.
func ParseAddr(text string) (netip.Addr, error) {
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, errors.New("must be an IPv4 or IPv6 address")
	}
	switch {
	case address.Zone() != "":
		return netip.Addr{}, errors.New("address must not have a zone")
	case address.Is4In6():
		return netip.Addr{}, errors.New("IPv4 address must not be mapped to IPv6")
	case address.IsUnspecified() || address.IsMulticast():
		return netip.Addr{}, errors.New("must be the address of one machine")
	}
	return address, nil
}

// ParseAddrPort parses address:port with an address that ParseAddr accepts and a port
// other than 0. The error is like that of ParseAddr.
func ParseAddrPort(text string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.New("must be address:port by IP number")
	}
	if ap.Port() == 0 {
		return netip.AddrPort{}, errors.New("port must be 1 to 65535")
	}
	if _, err := ParseAddr(ap.Addr().String()); err != nil {
		return netip.AddrPort{}, err
	}
	return ap, nil
}
