"""Which node owns the unit, and the parts that run while it does."""
