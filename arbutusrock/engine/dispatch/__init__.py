"""Which waiting task gets which worker."""
