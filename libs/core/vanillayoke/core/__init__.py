"""Timers, error kinds, events, ids, metrics, logs and timeline."""
