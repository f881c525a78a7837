"""Parsing of IP addresses and TCP ports in documents."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535
ZONE_SEPARATOR: Final = "%"


def parse_ip_port(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of `ip:port` or `[ipv6]:port`, or None.

    An address with a zone (`fe80::1%eth0`) means something on one machine only, and its
    zone may be any text, so that it is none.
    """
    host, _, port = text.rpartition(":")
    if ZONE_SEPARATOR in host:
        return None
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = parse_ip(host[1:-1] if is_bracketed else host)
    if ip is None or (ip.version == 6) != is_bracketed:
        return None
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return None
    if not 1 <= int(port) <= MAX_PORT:
        return None
    return str(ip), int(port)


def parse_ip(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    """Return an IP address, or None if the text is not one."""
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        return None
