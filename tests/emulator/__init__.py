"""Tests of the emulator, and of the placement policy in it."""
