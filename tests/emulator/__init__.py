"""Tests of the emulator, and of the policy under its loads."""
