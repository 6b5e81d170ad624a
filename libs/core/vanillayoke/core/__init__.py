"""Timers, error kinds, events, ids, metrics, logs and time line."""
