"""The program on every front VM: settings, composition, life cycle."""
