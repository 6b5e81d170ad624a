"""The fault matrix: every fault at every step of a call."""
