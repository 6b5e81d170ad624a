"""Test support: function tests with fixtures, a virtual-time event loop."""
