"""The owner's rows: progress of jobs, roster, knowledge, retention."""
