"""Small deployments of real processes, for demos and trials."""
