"""Settings files: JSON with comments, folder merge, checks, versions."""
