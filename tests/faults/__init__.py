"""Every fault at every step, over real processes and an outside oracle."""
