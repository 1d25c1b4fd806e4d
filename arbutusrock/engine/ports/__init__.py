"""What the engine asks of a platform: rows, feeds and messages."""
