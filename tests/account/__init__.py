"""Tests of the account of refusals on the platform."""
