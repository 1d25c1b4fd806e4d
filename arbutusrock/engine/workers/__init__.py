"""Workers as the owner knows them."""
