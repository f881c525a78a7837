"""Settings of a host, and loading of documents in JSON with comments."""
