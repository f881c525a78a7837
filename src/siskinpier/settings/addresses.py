"""Parsing of IP addresses and TCP ports in documents."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535


def parse_ip_port(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of `ip:port` or `[ipv6]:port`, or None."""
    host, _, port = text.rpartition(":")
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
