"""The life of a call: route, admission, server, slot, retry, answer."""
