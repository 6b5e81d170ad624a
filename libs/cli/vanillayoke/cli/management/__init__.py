"""Package of the commands for operators."""
