"""Messages between instances over pynng."""
