"""Program state, call order, budgets, journal records and replay; no I/O."""
