"""VMs: pools, moves, maintenance waves and evacuated data centres."""
