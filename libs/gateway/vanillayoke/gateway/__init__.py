"""An instance between callers and targets, with its state in the store."""
