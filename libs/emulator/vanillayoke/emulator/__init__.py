"""Simulation of engines and callers, to compare policies under load."""
