"""Case 3."""
