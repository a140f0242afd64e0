"""What holds for all tests: drawn cases are the same at every run."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
