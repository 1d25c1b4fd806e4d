"""State of one ownership that all its parts share."""
