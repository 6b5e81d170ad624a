"""The callers' HTTP interface, answer streams and entry addresses."""
