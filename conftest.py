"""Shared pytest settings: derandomised property tests for the same verdict each run."""

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.register_profile("fuzz", deadline=None, max_examples=5000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
