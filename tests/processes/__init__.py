"""Tests of what is known of servers' processes."""
