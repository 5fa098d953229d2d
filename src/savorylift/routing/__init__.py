"""Routes, services and teams of the configuration."""
