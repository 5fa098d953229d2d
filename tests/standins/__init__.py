"""Test doubles of the external systems that a node depends on."""
