"""The commands, one module each; ``main`` finds them here."""
