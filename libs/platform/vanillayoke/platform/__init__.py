"""Ports to the table service, object store, weight store and instance list."""
