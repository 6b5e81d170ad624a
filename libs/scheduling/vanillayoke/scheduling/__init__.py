"""Scheduling decisions without I/O or clocks."""
