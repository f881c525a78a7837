"""Stand-ins of the platform, the upstreams and the clients, for the review cases.

They use the standard library only and speak what PROTOCOL.md describes.
"""
