"""Placement, admission, order, cache lifetime, limits: pure."""
