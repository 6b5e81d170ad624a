"""Seeded benchmarks in virtual time."""
