"""The front node: its settings, composition and lifecycle."""
