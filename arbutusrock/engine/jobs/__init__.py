"""Jobs, their tasks, and what is estimated of them."""
