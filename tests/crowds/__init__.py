"""Real processes under crowds of clients that don't behave."""
