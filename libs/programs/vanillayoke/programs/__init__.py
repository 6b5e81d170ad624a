"""Program record, order, budget, journal and replay: pure."""
