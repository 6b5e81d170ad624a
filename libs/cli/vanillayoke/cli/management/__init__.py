"""What operators can do from the command line."""
