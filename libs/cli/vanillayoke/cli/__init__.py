"""The command line, one module per command."""
