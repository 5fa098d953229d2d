"""Settings shared by every test."""

import hypothesis

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("repeatable")
