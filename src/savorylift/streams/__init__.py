"""Generations: relay, resume, replay and length estimates."""
