"""Randomized fault tests on real processes, and a demo."""
