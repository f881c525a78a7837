"""Routing of calls: route, admission, server, slot, retries, answer."""
