"""Small stand-ins for the platform, workers and a faulty network."""
