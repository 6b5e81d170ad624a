"""The commands, one module each; ``commands.list_names`` finds them."""
