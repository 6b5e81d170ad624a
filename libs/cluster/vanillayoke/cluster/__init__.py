"""Membership, shards, leases, epochs and takeover: pure decisions."""
