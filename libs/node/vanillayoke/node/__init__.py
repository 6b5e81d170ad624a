"""Composition of one process: start, drain and stop."""
