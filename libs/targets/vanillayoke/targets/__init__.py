"""Adapters to engines and services; load, cache events and orders."""
