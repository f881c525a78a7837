"""Claims: at-most-once dispatch of non-idempotent calls that carry a key."""
